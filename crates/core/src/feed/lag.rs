use std::time::Duration;

use crate::time::Time;

/// How long a peer may be ahead of this node before this node suspects that its own watch is stuck.
/// Changes are batched into one answer, and nodes receive them at different times.
const ALLOWED_LAG: Duration = Duration::from_millis(900);

/// The pause after a peer was asked and had nothing new.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Tracks whether a peer knows later facts than this node, and when to ask a peer for them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// The latest revision that any peer knows.
    peer_revision: u64,
    /// When to ask a peer, if one is ahead.
    due: Time,
}

impl Lag {
    /// Creates the lag of a node that knows of no peer ahead of it.
    pub fn new() -> Lag {
        Lag::default()
    }

    /// Records that a peer knows everything that was published up to a revision, and this node
    /// everything up to `known`.
    pub fn on_peer_revision(&mut self, revision: u64, known: u64, now: Time) {
        if self.peer_revision <= known && revision > known {
            self.due = now + ALLOWED_LAG;
        }
        self.peer_revision = self.peer_revision.max(revision);
    }

    /// Returns when to ask a peer, if one is ahead of this node, which knows everything up to
    /// `known`.
    pub fn due(&self, known: u64) -> Option<Time> {
        (self.peer_revision > known).then_some(self.due)
    }

    /// Records that a peer was asked and had nothing new.
    pub fn on_nothing_new(&mut self, now: Time) {
        self.due = now + RETRY_PAUSE;
    }
}
