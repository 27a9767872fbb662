use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::Sub;
use crate::{config::Class, fingerprint::Fingerprint};

/// Everything that one query asks of one gate at once.
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
    /// Microseconds after which the answer is of no more use.
    pub budget_micros: u64,
    /// The version of the index to answer from.
    pub snapshot: u64,
    /// The query as the caller wrote it.
    pub query: Box<RawValue>,
    /// The trace context of the caller's side, as W3C defines it.
    pub trace: Option<String>,
    /// The sub-requests.
    pub subs: Vec<Sub>,
}
