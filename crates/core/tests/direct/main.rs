//! Tests of the decision logic of nodes that send requests directly to servers, one file per
//! feature.

mod fixture;
mod full_connections;
mod model;
mod news_fleet;

mod budget_window;
mod choice_of_server;
mod cold_share;
mod counted_nodes;
mod crash_evidence;
mod crash_spread;
mod few_hedges;
mod final_answer;
mod hung_readers;
mod lapsed_entries;
mod late_news;
mod leaving_servers;
mod load_patterns;
mod lost_servers;
mod merged_records;
mod mirror_updates;
mod planned_stop;
mod recorded_packets;
mod relayed_requests;
mod resting_servers;
mod restored_fleet;
mod restored_store;
mod rule_lookup;
mod run_steps;
mod shared_reports;
mod stated_limits;
mod store_reads;
mod suspect_content;
mod unproven_content;
mod upstream_choice;
