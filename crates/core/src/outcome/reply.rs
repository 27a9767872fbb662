use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The answer of one server for one shard.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Reply {
    /// The version of the index that was searched.
    pub snapshot: u64,
    /// The versions of the index that the server holds.
    pub holds: Vec<u64>,
    /// The hits as a JSON array of [`crate::query::Hit`], not yet parsed.
    pub hits: Box<RawValue>,
}
