use std::time::Duration;

use mimosabridge::config::Class;

/// Services of one kind, and how their callers use them.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The name of the rule that reaches the services.
    pub rule: &'static str,
    /// The number of services. Each holds its own part of the index.
    pub services: usize,
    /// Servers of each service, spread over the data centres.
    pub servers: usize,
    /// Replicas of each shard.
    pub replicas: usize,
    /// Requests that one warm server runs at once.
    pub slots: u32,
    /// Connections that one server accepts.
    pub connections: u32,
    /// What a new connection costs.
    pub connect_cost: Duration,
    /// The median time that a request runs.
    pub service_time: Duration,
    /// The priority class of the callers.
    pub class: Class,
    /// The longest time that a request may take.
    pub deadline: Duration,
    /// Requests per second at scale 1.
    pub rate: f64,
    /// The part of the requests that callers cancel.
    pub cancelled: f64,
}
