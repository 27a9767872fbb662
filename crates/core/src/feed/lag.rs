use std::time::Duration;

use super::Progress;
use crate::time::Time;

/// How long a peer may be ahead of this node before this node suspects that its own watch is stuck.
/// Changes are batched into one answer, and nodes receive them at different times.
const ALLOWED_LAG: Duration = Duration::from_millis(900);

/// How long a peer may know urgent changes before a node that reads the store asks the peer. The
/// store answers a watch within a fifth of a second, even when it is slow.
const READER_PATIENCE: Duration = Duration::from_millis(300);

/// The same for a node that follows a reader, which may have to ask a peer first.
const FOLLOWER_PATIENCE: Duration = Duration::from_millis(600);

/// The pause after a peer was asked and had nothing new.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How often in a row peers may have nothing new before this node forgets that one was ahead: the
/// only node that knew more may have stopped.
const MAX_VAIN_ASKS: u32 = 10;

/// Tracks whether a peer knows later facts than this node, and when to ask a peer for them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// What all peers know together.
    peers: Progress,
    /// Since when a peer is ahead.
    behind_since: Time,
    /// Since when a peer knows urgent changes that this node lacks.
    urgent_since: Time,
    /// No peer is asked before.
    not_before: Time,
    /// How often in a row peers had nothing new.
    vain_asks: u32,
}

impl Lag {
    /// Creates the lag of a node that knows of no peer ahead of it.
    pub fn new() -> Lag {
        Lag::default()
    }

    /// Records the progress of a peer, while this node's own progress is `known`. Returns whether
    /// the peer is ahead.
    pub fn on_peer(&mut self, peer: Progress, known: &Progress, now: Time) -> bool {
        if peer.is_ahead_of(known) && !self.peers.is_ahead_of(known) {
            self.behind_since = now;
        }
        if peer.is_urgent_for(known) && !self.peers.is_urgent_for(known) {
            self.urgent_since = now;
        }
        self.peers = self.peers.merge(peer);
        peer.is_ahead_of(known)
    }

    /// Records that this node reads the store now, so that a peer need not be asked until the store
    /// had time to answer.
    pub fn on_read(&mut self, now: Time) {
        self.not_before = now + READER_PATIENCE;
    }

    /// Returns when to ask a peer, if one is ahead of this node, whose progress is `known`.
    pub fn due(&self, known: &Progress, is_follower: bool) -> Option<Time> {
        if !self.peers.is_ahead_of(known) {
            return None;
        }
        let patience = if is_follower { FOLLOWER_PATIENCE } else { READER_PATIENCE };
        let mut due = self.behind_since + ALLOWED_LAG;
        if self.peers.is_urgent_for(known) {
            due = due.min(self.urgent_since + patience);
        }
        Some(due.max(self.not_before))
    }

    /// Records that a peer was asked and had nothing new.
    pub fn on_nothing_new(&mut self, now: Time) {
        self.not_before = now + RETRY_PAUSE;
        self.vain_asks += 1;
        if self.vain_asks >= MAX_VAIN_ASKS {
            *self = Lag { not_before: self.not_before, ..Lag::default() };
        }
    }

    /// Records that a peer was asked and had an update.
    pub fn on_update(&mut self) {
        self.vain_asks = 0;
    }
}
