use std::time::Duration;

use crate::name::Name;

/// The default number of nodes that a node assumes until it knows the others. It is more than a
/// site of today has, so that nodes that start together do not exceed the shared limits.
pub const ASSUMED_NODES: u32 = 16;

/// The settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The data centre of this node.
    pub data_centre: Name,
    /// The extra requests that all nodes together may send per request.
    pub extra_ratio: f64,
    /// The extra requests that all nodes together may send on top of the ratio.
    pub extra_burst: f64,
    /// The factor on the configured rate of requests to a cold server.
    pub cold_factor: f64,
    /// The requests per second that a cold server may get on top of that rate.
    pub cold_slack: f64,
    /// How long after the word that a server leaves it may still get requests.
    pub drain_time: Duration,
    /// How often servers write their entries.
    pub write_interval: Duration,
    /// The number of nodes that is assumed until the others are known.
    pub assumed_nodes: u32,
}
