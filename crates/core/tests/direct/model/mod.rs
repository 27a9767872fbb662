//! A simulation of nodes, servers and callers in virtual time, to replay load patterns.

mod server;
mod simulation;
mod tally;

pub use self::{server::Server, simulation::Simulation, tally::Tally};
