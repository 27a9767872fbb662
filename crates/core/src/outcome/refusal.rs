use serde::{Deserialize, Serialize};

/// Why an attempt was not run. Each reason implies that no server started it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The queue of the server is full at the gate, or a more urgent request took the place.
    QueueFull,
    /// The deadline passed before the attempt was sent.
    Expired,
    /// The caller cancelled before the attempt was sent.
    Cancelled,
    /// The server is leaving.
    ServerLeaving,
    /// The data centre is taken out.
    DataCentreClosed,
    /// The server does not hold the snapshot; it holds these versions of the index.
    NotHeld(Vec<u64>),
    /// The server has no room and said that it did not start the request.
    Shed,
    /// No connection to the server could be opened.
    Unreachable,
    /// The server is not known at the gate.
    UnknownServer,
    /// The gate is stopping and takes no new work.
    GateLeaving,
    /// The gate was not reached: nothing was sent to it.
    GateUnreachable,
    /// The content of the request is quarantined because servers crashed while running it.
    Quarantined,
    /// The gate has no contact with the rest of the system and cannot know whether it may send.
    Isolated,
}
