use serde::{Deserialize, Serialize};

/// The status that a server reports about itself.
///
/// It may be outdated or wrong, so it can lower the concurrency limit but never raise it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// A number that changes each time the server process starts.
    pub boot: u64,
    /// The condition that the server reports.
    pub condition: Condition,
    /// The number of requests that the server is running, from all senders.
    pub running: u32,
}

/// The condition that a server reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The caches of the server are filled.
    Warm,
    /// The server started recently and sustains only a low concurrency.
    Cold,
    /// The server finishes its running requests and accepts no new ones.
    Leaving,
}
