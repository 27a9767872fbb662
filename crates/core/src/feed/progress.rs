use serde::{Deserialize, Serialize};

use super::Position;

/// Up to where a node knows the published facts, as it tells the other nodes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The position of the store up to which the node knows everything.
    pub position: Position,
    /// The position up to which the node has applied changes that must be in force everywhere
    /// within seconds: a version of the configuration, the removal or the stop of a server, a
    /// closed data centre.
    pub urgent: Position,
    /// The version of the configuration in force. It may be later than the store's, if the store
    /// has come back from an older copy.
    pub version: u64,
}

impl Progress {
    /// Returns whether this node knows facts that `other` lacks.
    pub fn is_ahead_of(&self, other: &Progress) -> bool {
        self.position > other.position || self.version > other.version
    }

    /// Returns whether this node knows urgent changes that `other` lacks.
    pub fn is_urgent_for(&self, other: &Progress) -> bool {
        self.urgent > other.position || self.version > other.version
    }

    /// Returns what this node and `other` know together.
    pub fn merge(self, other: Progress) -> Progress {
        Progress {
            position: self.position.max(other.position),
            urgent: self.urgent.max(other.urgent),
            version: self.version.max(other.version),
        }
    }
}
