use std::time::Duration;

use mimosabridge::config::Class;

/// Services of one kind, and how their callers use them.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The name of the rule that covers the services.
    pub rule: &'static str,
    /// The number of services. Each holds a different part of the index.
    pub services: usize,
    /// Servers of each service, spread over the data centres.
    pub servers: usize,
    /// Replicas of each shard.
    pub replicas: usize,
    /// Requests that one warm server runs at once.
    pub slots: u32,
    /// The most connections that one server accepts.
    pub connections: u32,
    /// The time that it takes to open a connection.
    pub connect_cost: Duration,
    /// The median run time of a request.
    pub service_time: Duration,
    /// The priority class of the callers.
    pub class: Class,
    /// The time after which the callers no longer wait for an answer.
    pub deadline: Duration,
    /// Requests per second at scale 1.
    pub rate: f64,
    /// The share of requests that callers cancel, from 0 to 1.
    pub cancelled: f64,
}
