use serde::{Deserialize, Serialize};

use super::Missing;
use crate::name::Name;

/// How much of the pinned snapshot an answer covers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// The number of shards that the partition map of the snapshot has for the rule.
    pub total: usize,
    /// The number of shards that answered from the snapshot.
    pub answered: usize,
    /// The shards that did not answer.
    pub missing: Vec<Gap>,
}

/// A shard without an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gap {
    /// The shard.
    pub shard: Name,
    /// Why it is missing.
    pub reason: Missing,
}

impl Coverage {
    /// Returns whether every shard answered.
    pub fn is_complete(&self) -> bool {
        self.answered == self.total
    }
}
