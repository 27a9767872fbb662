use serde::{Deserialize, Serialize};

/// A value of the configuration service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Increases with each write of the key.
    pub revision: u64,
    /// The value, at most a megabyte.
    pub value: String,
}
