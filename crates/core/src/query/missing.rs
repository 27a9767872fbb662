use serde::{Deserialize, Serialize};

use crate::outcome::{Failure, Refusal};

/// Why a shard is missing from an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Missing {
    /// No attempt was run: the last one was refused for this reason.
    NotRun(Refusal),
    /// An attempt may have run; the last one failed for this reason.
    Unknown(Failure),
    /// No server that accepts work holds the shard.
    NoReplica,
}

impl Missing {
    /// Returns whether no attempt can have run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Missing::NotRun(_) | Missing::NoReplica)
    }
}
