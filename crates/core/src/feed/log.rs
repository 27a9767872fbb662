use std::collections::VecDeque;

use super::{Position, Snapshot};

/// The maximum number of deltas to keep: half a minute of constant change.
const MAX_DELTAS: usize = 48;

/// The maximum number of facts to keep. A node that lacks more of them receives everything.
const MAX_FACTS: usize = 1_024;

/// The latest deltas, for nodes that follow this one.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    /// Each delta with the position that it follows, without gaps.
    deltas: VecDeque<(Position, Snapshot)>,
    facts: usize,
}

impl Log {
    /// Adds the delta that follows a position.
    pub fn push(&mut self, after: Position, delta: Snapshot) {
        self.facts += delta.facts.len();
        self.deltas.push_back((after, delta));
        while self.deltas.len() > MAX_DELTAS || self.facts > MAX_FACTS {
            let Some((_, oldest)) = self.deltas.pop_front() else { break };
            self.facts -= oldest.facts.len();
        }
    }

    /// Removes all deltas, because positions were skipped.
    pub fn clear(&mut self) {
        self.deltas.clear();
        self.facts = 0;
    }

    /// Returns the facts published after a position, if all of them are kept.
    pub fn since(&self, position: Position) -> Option<Snapshot> {
        let start = self.deltas.iter().position(|(_, it)| it.position > position)?;
        let newer = self.deltas.iter().skip(start);
        let (after, _) = newer.clone().next()?;
        if *after > position {
            return None;
        }
        let facts = newer.clone().flat_map(|(_, it)| it.facts.iter().cloned()).collect();
        newer.last().map(|(_, it)| Snapshot { position: it.position, facts })
    }
}
