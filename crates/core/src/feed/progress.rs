use serde::{Deserialize, Serialize};

/// Up to where a node knows the published facts, as it tells the other nodes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The revision of the store up to which the node knows everything.
    pub revision: u64,
    /// The revision up to which the node has applied changes that must be in force everywhere
    /// within seconds: a version of the configuration, the removal or the stop of a server, a
    /// closed data centre.
    pub urgent: u64,
}

impl Progress {
    /// Returns whether this node knows facts that `other` lacks.
    pub fn is_ahead_of(&self, other: &Progress) -> bool {
        self.revision > other.revision
    }

    /// Returns whether this node knows urgent changes that `other` lacks.
    pub fn is_urgent_for(&self, other: &Progress) -> bool {
        self.urgent > other.revision
    }

    /// Returns what this node and `other` know together.
    pub fn merge(self, other: Progress) -> Progress {
        Progress {
            revision: self.revision.max(other.revision),
            urgent: self.urgent.max(other.urgent),
        }
    }
}
