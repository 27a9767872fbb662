use serde::{Deserialize, Serialize};

use crate::name::Name;

/// One sub-request of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubRequest {
    /// The number of the attempt within its query.
    pub attempt: u32,
    /// The server to run it on.
    pub server: Name,
    /// The shard to search.
    pub shard: Name,
    /// Whether the attempt is made after a server has crashed with the content of the call. Entries of
    /// earlier versions do not say it.
    #[serde(default)]
    pub is_repeat: bool,
}
