use serde::{Deserialize, Serialize};

use super::{Record, State};

/// The state of a node that the receiver already knows, without the rest of its [`Record`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mark {
    /// The hash of the name of the node.
    pub key: u32,
    /// The low bits of the boot of the node. With the key they identify one boot of one node.
    pub boot: u32,
    /// The refutation number of the node in that boot.
    pub refutation: u32,
    /// The state of the node in that incarnation.
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

    /// Returns the known record with the state of the mark, or nothing if the mark is about another
    /// node or another boot of it.
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
