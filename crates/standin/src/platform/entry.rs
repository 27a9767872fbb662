use serde::{Deserialize, Serialize};

/// A value of the configuration service and its revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Increases with each write of the key.
    pub revision: u64,
    /// The value, at most 1 MB.
    pub value: String,
}
