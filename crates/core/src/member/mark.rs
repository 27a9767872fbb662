use serde::{Deserialize, Serialize};

use super::{Record, State};

/// The state of a node that the receiver knows, without what it knows already.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mark {
    /// A hash of the name of the node.
    pub key: u32,
    /// The low bits of the boot of the node. With the key they name one life of one node.
    pub boot: u32,
    /// How often the node has refuted in that life.
    pub refutation: u32,
    /// The state of the node.
    pub state: State,
}

impl Mark {
    /// Creates the mark of a record.
    pub fn new(record: &Record) -> Mark {
        Mark {
            key: record.key(),
            boot: record.incarnation.boot as u32,
            refutation: record.incarnation.refutation,
            state: record.state,
        }
    }

    /// Returns what the mark says of a node, or nothing if it is about another life.
    pub fn apply(&self, known: &Record) -> Option<Record> {
        if self.key != known.key() || self.boot != known.incarnation.boot as u32 {
            return None;
        }
        let mut record = known.clone();
        record.incarnation.refutation = self.refutation;
        record.state = self.state;
        Some(record)
    }
}
