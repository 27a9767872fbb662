use serde::{Deserialize, Serialize};

/// What a server says of itself. It may lag or mislead, so it only ever lowers trust.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// A number that changes each time the server process starts.
    pub boot: u64,
    /// What condition the server says it is in.
    pub condition: Condition,
    /// Requests that the server is running, from any sender.
    pub running: u32,
}

/// The condition that a server says it is in.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The caches of the server are filled.
    Warm,
    /// The server has started lately and bears little.
    Cold,
    /// The server finishes what it has and takes nothing new.
    Leaving,
}
