use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// The settings that all servers of a service share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// The path of the health check of its servers.
    pub health_path: Name,
    /// The number of connections that one server accepts from all nodes together.
    pub connections: u32,
    /// How long a server stays cold after its start.
    pub warm_up: Duration,
    /// The rate, in requests per second, that a cold server can handle from all nodes together;
    /// zero if there is no such limit.
    pub cold_rate: f64,
}
