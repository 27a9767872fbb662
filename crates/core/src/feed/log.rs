use std::collections::VecDeque;

use super::{Fact, Position, Snapshot};

/// The maximum number of deltas to keep: half a minute of constant change.
const MAX_DELTAS: usize = 48;

/// The maximum number of facts to keep. A node that lacks more of them receives everything.
const MAX_FACTS: usize = 1_024;

/// The latest deltas, for nodes that follow this one.
///
/// Versions of the configuration are left out: each can be as large as all other facts together,
/// and only the latest one, which the mirror holds, is of use to a follower.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    /// The deltas, without gaps.
    deltas: VecDeque<Delta>,
    facts: usize,
}

/// The facts published after one position up to another.
#[derive(Clone, Debug)]
struct Delta {
    after: Position,
    until: Position,
    facts: Vec<Fact>,
    /// Whether versions of the configuration were published, too.
    has_plan: bool,
}

/// The facts that a follower lacks, without the configuration.
#[derive(Clone, Debug)]
pub(super) struct Missing {
    /// The facts, with the position up to which they were published.
    pub snapshot: Snapshot,
    /// Whether the follower lacks a version of the configuration, too.
    pub has_plan: bool,
}

impl Log {
    /// Adds the delta that follows a position.
    pub fn push(&mut self, after: Position, delta: Snapshot) {
        let Snapshot { position: until, mut facts } = delta;
        let count = facts.len();
        facts.retain(|it| !matches!(it, Fact::Plan(_)));
        let has_plan = facts.len() < count;
        self.facts += facts.len();
        self.deltas.push_back(Delta { after, until, facts, has_plan });
        while self.deltas.len() > MAX_DELTAS || self.facts > MAX_FACTS {
            let Some(oldest) = self.deltas.pop_front() else { break };
            self.facts -= oldest.facts.len();
        }
    }

    /// Removes all deltas, because positions were skipped.
    pub fn clear(&mut self) {
        self.deltas.clear();
        self.facts = 0;
    }

    /// Returns the facts published after a position, if all of them are kept.
    pub fn since(&self, position: Position) -> Option<Missing> {
        let start = self.deltas.iter().position(|it| it.until > position)?;
        let newer = self.deltas.range(start..);
        let first = newer.clone().next()?;
        if first.after > position {
            return None;
        }
        let facts = newer.clone().flat_map(|it| it.facts.iter().cloned()).collect();
        let has_plan = newer.clone().any(|it| it.has_plan);
        let snapshot = Snapshot { position: newer.last()?.until, facts };
        Some(Missing { snapshot, has_plan })
    }
}
