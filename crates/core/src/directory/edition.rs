use serde::{Deserialize, Serialize};

/// Which write of which start of a server an entry is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edition {
    /// The start of the server, or zero if it does not say.
    pub born: u64,
    /// The number of the write since that start, if the server says.
    pub sequence: Option<u64>,
}

impl Edition {
    /// Returns whether this edition was written before another. Without a start or a number neither counts as older.
    pub fn is_before(&self, other: &Edition) -> bool {
        if self.born == 0 || other.born == 0 {
            return false;
        }
        let sequences = self.sequence.zip(other.sequence);
        let is_earlier_write = || sequences.is_some_and(|(own, other)| own < other);
        self.born < other.born || self.born == other.born && is_earlier_write()
    }
}
