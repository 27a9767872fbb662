use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A part of an index, with the servers that hold it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// The name, unique among shards.
    pub name: Name,
    /// The service that serves the shard.
    pub service: Name,
    /// The servers that hold the shard, each of the shard's service.
    pub replicas: Vec<Name>,
}
