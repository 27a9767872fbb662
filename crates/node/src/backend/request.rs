use std::{sync::Arc, time::Duration};

use mimosabridge::{config::Class, name::Name};
use serde_json::value::RawValue;

/// A search request to a server.
#[derive(Clone, Debug)]
pub struct Request {
    /// The ID of the request, unique in the fleet.
    pub id: String,
    /// The shard to search.
    pub shard: Name,
    /// The version of the index to answer from.
    pub snapshot: u64,
    /// The priority class.
    pub class: Class,
    /// The time until the deadline, after which the answer is useless.
    pub budget: Duration,
    /// The query as the caller wrote it.
    pub query: Arc<RawValue>,
    /// The W3C trace context.
    pub trace: Option<String>,
}
