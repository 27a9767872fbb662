use serde::{Deserialize, Serialize};

/// The state of a server as a gate sees it. Each outcome carries it, to help the entry choose
/// replicas.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hint {
    /// How far the gate trusts the server.
    pub trust: Trust,
    /// The most requests of the gate that may run at once.
    pub limit: u32,
    /// The requests of the gate that are running.
    pub running: u32,
    /// The requests of the gate that wait in its queue.
    pub queued: u32,
    /// The usual time from sending a request to its reply, in microseconds; zero if unknown.
    pub usual_micros: u32,
}

impl Hint {
    /// Creates the hint for an unknown server.
    pub fn unknown() -> Hint {
        Hint { trust: Trust::Cold, limit: 1, running: 0, queued: 0, usual_micros: 0 }
    }
}

/// How far a gate trusts a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Trust {
    /// Recent evidence supports the full limit.
    Warm,
    /// The limit is rising on evidence.
    Ramping,
    /// The server is new, cold, or was silent.
    Cold,
    /// The server cannot be reached.
    Down,
    /// The server is leaving.
    Leaving,
}
