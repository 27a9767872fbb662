use serde::{Deserialize, Serialize};

/// A point in the history of the platform's store.
///
/// Revisions are comparable within one era only: a store that comes back from an older copy gives
/// out revisions again, and begins a new era. Positions compare by era first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// How often the store has come back from an older copy; zero if the store does not say.
    pub era: u64,
    /// The revision of the store.
    pub revision: u64,
}

impl Position {
    /// Creates the position of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Position {
        Position { era, revision }
    }

    /// Returns whether changes up to this position can follow those up to `earlier`.
    pub fn continues(&self, earlier: &Position) -> bool {
        self.era == earlier.era && self.revision >= earlier.revision
    }

    /// Returns whether nothing is known at this position.
    pub fn is_start(&self) -> bool {
        self.revision == 0
    }
}
