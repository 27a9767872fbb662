use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::gate::Report;

/// The body of the answer to a search.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Reply {
    /// The identity of the request, as received in its header.
    pub request_id: String,
    /// The version of the index that was searched.
    pub snapshot: u64,
    /// The versions of its index that the server holds.
    pub holds: Vec<u64>,
    /// The condition and load of the server.
    pub server: Report,
    /// The hits: a JSON array of [`crate::query::Hit`].
    pub hits: Box<RawValue>,
}
