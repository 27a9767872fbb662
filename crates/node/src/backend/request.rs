use std::{sync::Arc, time::Duration};

use mimosabridge::{config::Class, name::Name};
use serde_json::value::RawValue;

/// A search as it goes to a server.
#[derive(Clone, Debug)]
pub struct Request {
    /// The identity of the request, unique in the fleet.
    pub id: String,
    /// The shard to search.
    pub shard: Name,
    /// The version of the index to answer from.
    pub snapshot: u64,
    /// The priority class.
    pub class: Class,
    /// How long the answer is of use.
    pub budget: Duration,
    /// The query as the caller wrote it.
    pub query: Arc<RawValue>,
    /// The trace context, as W3C defines it.
    pub trace: Option<String>,
}
