//! Tests of whole nodes against stand-ins, one file a feature.

mod env;

mod caller_gone;
mod config_spread;
mod endless_answers;
mod operator_pages;
mod planned_stop;
mod poison;
mod process_signals;
mod queries;
mod server_leaves;
mod silent_connections;
mod stopping_nodes;
mod tickets;
mod traces;
