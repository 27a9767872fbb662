//! Tests of a whole node with test servers on loopback, one file per feature.

mod env;

mod caller_disconnects;
mod classified_answers;
mod closed_connections;
mod crashing_contents;
mod cut_answers;
mod cut_watches;
mod endless_answers;
mod followed_reader;
mod invalid_answers;
mod invalid_requests;
mod last_answers;
mod later_builds;
mod leaving_servers;
mod old_rules;
mod packed_updates;
mod passed_over_copies;
mod relayed_closes;
mod resting_servers;
mod served_requests;
mod short_frames;
mod stale_connections;
mod stale_deadlines;
mod stranded_nodes;
mod turned_away_reader;
mod unseen_ends;
