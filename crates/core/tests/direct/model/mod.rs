//! A simulation of nodes, servers and callers in virtual time, to replay load patterns.

mod callers;
mod server;
mod simulation;
mod tally;

pub use self::{callers::Callers, server::Server, simulation::Simulation, tally::Tally};
