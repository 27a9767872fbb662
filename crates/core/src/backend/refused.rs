use serde::{Deserialize, Serialize};

use crate::gate::Report;

/// The body of a refusal, which means that the server did not start the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refused {
    /// The identity of the request, as received in its header.
    pub request_id: String,
    /// Why the request was not started.
    pub reason: Reason,
    /// The versions of its index that the server holds.
    pub holds: Vec<u64>,
    /// The condition and load of the server.
    pub server: Report,
}

/// Why a server did not start a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No slot is free.
    Shed,
    /// The server is leaving.
    Leaving,
    /// The server does not hold the version or the shard.
    NotHeld,
    /// The deadline passed, or the request was cancelled, before the server started it.
    Expired,
}
