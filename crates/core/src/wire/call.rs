use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::SubRequest;
use crate::{config::Class, fingerprint::Fingerprint};

/// A request from an entry to a gate: the sub-requests of one query for servers of that gate.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Call {
    /// The identity of the call, unique in the fleet.
    pub id: u64,
    /// The priority class.
    pub class: Class,
    /// The fingerprint of the content.
    pub content: Fingerprint,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The time left until the deadline, in microseconds.
    pub budget_micros: u64,
    /// The version of the index to answer from.
    pub snapshot: u64,
    /// The query as the caller sent it.
    pub query: Box<RawValue>,
    /// The trace context of the sender, in the W3C format.
    pub trace: Option<String>,
    /// The sub-requests.
    pub subs: Vec<SubRequest>,
}
