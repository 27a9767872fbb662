use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A group of backend servers that serve one part of an index and share their limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name, unique among services.
    pub name: Name,
    /// The index that the service belongs to.
    pub index: Name,
    /// The requests that one warm server runs at once.
    pub slots: u32,
    /// The connections that one server accepts.
    pub connections: u32,
    /// The time that it takes to open a connection, in milliseconds.
    pub connect_cost_ms: u64,
    /// The requests that one cold server runs at once.
    #[serde(default = "default_cold_slots")]
    pub cold_slots: u32,
}

impl Service {
    /// Returns the time that it takes to open a connection.
    pub fn connect_cost(&self) -> Duration {
        Duration::from_millis(self.connect_cost_ms)
    }
}

fn default_cold_slots() -> u32 {
    1
}
