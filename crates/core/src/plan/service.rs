use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// What is known of all servers of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// Connections that one server accepts from all nodes together.
    pub connections: u32,
    /// How long a server stays cold after its start.
    pub warm_up: Duration,
    /// Requests per second that a cold server bears from all nodes together; zero if there is no
    /// such bound.
    pub cold_rate: f64,
}
