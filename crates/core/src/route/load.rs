use std::time::Duration;

use crate::{
    outcome::{Hint, Trust},
    time::Time,
};

/// How long a hint describes a server.
const HINT_TTL: Duration = Duration::from_secs(2);

/// The latency that is assumed of a server before its gate has told one.
const ASSUMED_LATENCY: Duration = Duration::from_millis(5);

/// What an entry knows of the load on one server.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    hint: Hint,
    heard: Time,
    pending: u32,
}

impl Load {
    /// Creates the load of a server that nothing was heard of.
    pub fn new() -> Load {
        Load { hint: Hint::unknown(), heard: Time::ZERO, pending: 0 }
    }

    /// Takes note of an attempt that was sent.
    pub fn on_sent(&mut self) {
        self.pending += 1;
    }

    /// Takes note of an attempt that is over.
    pub fn on_done(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Takes a hint from the gate of the server.
    pub fn on_hint(&mut self, hint: Hint, now: Time) {
        self.hint = hint;
        self.heard = now;
    }

    /// Returns how far the server is trusted; `Warm` if nothing was heard of late.
    pub fn trust(&self, now: Time) -> Trust {
        self.known_trust(now).unwrap_or(Trust::Warm)
    }

    /// Returns how far the server is trusted, if anything was heard of late.
    pub fn known_trust(&self, now: Time) -> Option<Trust> {
        self.is_fresh(now).then_some(self.hint.trust)
    }

    /// Estimates how long one more request to the server takes, given its slots.
    pub fn wait(&self, slots: u32, now: Time) -> Duration {
        let fresh = self.is_fresh(now);
        let limit = if fresh { self.hint.limit } else { slots }.max(1);
        let known = if fresh { self.hint.running + self.hint.queued } else { 0 };
        let usual = match self.hint.usual_micros {
            0 => ASSUMED_LATENCY,
            micros => Duration::from_micros(u64::from(micros)),
        };
        let ahead = known.max(self.pending);
        usual * (1 + ahead / limit)
    }

    fn is_fresh(&self, now: Time) -> bool {
        self.heard != Time::ZERO && now.since(self.heard) < HINT_TTL
    }
}

impl Default for Load {
    fn default() -> Load {
        Load::new()
    }
}
