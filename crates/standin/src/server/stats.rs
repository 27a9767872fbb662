use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The counters of a modelled server.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Stats {
    /// Requests that were started.
    pub started: u64,
    /// Requests that were answered completely.
    pub served: u64,
    /// Requests that were refused before they started.
    pub refused: u64,
    /// Requests that were cancelled while they ran.
    pub cancelled: u64,
    /// Time spent running requests, in microseconds.
    pub busy_micros: u64,
    /// Time spent running requests that were then cancelled, in microseconds.
    pub wasted_micros: u64,
    /// The most requests that ran at once.
    pub peak_running: u32,
    /// The most requests that ran at once while the server was cold.
    pub peak_cold: u32,
    /// Connections that were opened.
    pub connections_opened: u64,
    /// Connections that were refused because the limit was reached.
    pub connections_refused: u64,
    /// The most connections that were open at once.
    pub peak_connections: u32,
    /// The number of crashes of the process.
    pub crashes: u32,
    /// How often each request with an `order` was started.
    pub orders: BTreeMap<String, u32>,
}
