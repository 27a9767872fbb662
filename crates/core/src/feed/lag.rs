use std::time::Duration;

use crate::time::Time;

/// How long a peer may be ahead of this node before this node suspects its own watch: answers are
/// gathered, and nodes are told at different times.
const PATIENCE: Duration = Duration::from_millis(900);

/// The pause after a peer was asked in vain.
const RETRY: Duration = Duration::from_millis(200);

/// Whether peers know more of what is published than this node, and when it asks one of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    revision: u64,
    due: Time,
}

impl Lag {
    /// Creates the lag of a node that has heard of no peer ahead of it.
    pub fn new() -> Lag {
        Lag::default()
    }

    /// Takes note that a peer knows what is published up to a revision, and this node up to
    /// `known`.
    pub fn on_peer(&mut self, revision: u64, known: u64, now: Time) {
        if self.revision <= known && revision > known {
            self.due = now + PATIENCE;
        }
        self.revision = self.revision.max(revision);
    }

    /// Returns when to ask a peer, if one is ahead of this node, which knows up to `known`.
    pub fn due(&self, known: u64) -> Option<Time> {
        (self.revision > known).then_some(self.due)
    }

    /// Takes note that a peer was asked and did not tell more.
    pub fn on_vain(&mut self, now: Time) {
        self.due = now + RETRY;
    }
}
