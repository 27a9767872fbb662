//! Choice of the backend server for a request, on a node that sends straight to servers.
//!
//! Handles servers of different speed, servers that pause or turn slow, servers that reject or fail
//! part of their requests, servers that are down or silent, and cold servers that can take only a
//! few requests from all nodes together. A server that states a limit gets no more from all
//! nodes together than it takes, and one that says that it leaves gets what no other can take. One that
//! says that it rests gets nothing meanwhile.

mod aggregate;
mod balancer;
mod baseline;
mod cost;
mod estimate;
mod forbidden;
mod leaving;
mod limits;
mod meter;
mod purpose;
mod quota;
mod resting;
mod server;
mod servers;
mod settings;
mod stated;
mod tally;
mod wait;

pub use self::{
    balancer::Balancer,
    baseline::Baseline,
    estimate::Estimate,
    meter::Meter,
    purpose::Purpose,
    quota::Quota,
    resting::MAX_REST,
    server::{IDLE_TIMEOUT, Observation, Server},
    settings::{ASSUMED_NODES, Settings},
    stated::Stated,
    tally::{Sample, Tally},
};
