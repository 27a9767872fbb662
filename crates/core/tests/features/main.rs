//! Tests of the decision logic, one file per feature.

mod mesh;
mod simulation;

mod admission;
mod canaries;
mod cold_ramp;
mod config_bundle;
mod config_check;
mod config_race;

mod fault_matrix;
mod hedges;
mod membership;
mod placement;
mod quarantine;
mod queue_order;
mod retry_budget;
mod routes;
mod snapshot_choice;
mod tickets;
