use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A version of an index with its partition map.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The name, unique among snapshots.
    pub name: Name,
    /// The index of the snapshot.
    pub index: Name,
    /// The version, increasing with each publication of the index.
    pub version: u64,
    /// The shards that make up the index in this version.
    pub shards: Vec<Name>,
}
