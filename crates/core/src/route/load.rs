use std::time::Duration;

use crate::{
    outcome::{Hint, Trust},
    time::Time,
};

/// How long a hint about a server is valid.
const HINT_TTL: Duration = Duration::from_secs(2);

/// The latency that is assumed for a server until its gate has reported one.
const ASSUMED_LATENCY: Duration = Duration::from_millis(5);

/// What an entry knows about the load of one server.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    hint: Hint,
    /// When the last hint arrived; zero if there was none.
    updated: Time,
    /// The attempts of this entry that are under way.
    pending: u32,
}

impl Load {
    /// Creates the load of a server without a hint.
    pub fn new() -> Load {
        Load { hint: Hint::unknown(), updated: Time::ZERO, pending: 0 }
    }

    /// Records that an attempt was sent.
    pub fn on_sent(&mut self) {
        self.pending += 1;
    }

    /// Records that an attempt is over.
    pub fn on_done(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Records a hint from the gate of the server.
    pub fn on_hint(&mut self, hint: Hint, now: Time) {
        self.hint = hint;
        self.updated = now;
    }

    /// Returns how far the server is trusted; [`Trust::Warm`] if there is no valid hint.
    pub fn trust(&self, now: Time) -> Trust {
        self.known_trust(now).unwrap_or(Trust::Warm)
    }

    /// Returns how far the server is trusted, if there is a valid hint.
    pub fn known_trust(&self, now: Time) -> Option<Trust> {
        self.is_fresh(now).then_some(self.hint.trust)
    }

    /// Estimates the latency of one more request to the server. `slots` is the number of requests
    /// that the server runs at once, used if there is no valid hint.
    pub fn expected_latency(&self, slots: u32, now: Time) -> Duration {
        let fresh = self.is_fresh(now);
        let limit = if fresh { self.hint.limit } else { slots }.max(1);
        let known = if fresh { self.hint.running + self.hint.queued } else { 0 };
        let latency = match self.hint.usual_micros {
            0 => ASSUMED_LATENCY,
            micros => Duration::from_micros(u64::from(micros)),
        };
        let ahead = known.max(self.pending);
        latency * (1 + ahead / limit)
    }

    fn is_fresh(&self, now: Time) -> bool {
        self.updated != Time::ZERO && now.since(self.updated) < HINT_TTL
    }
}

impl Default for Load {
    fn default() -> Load {
        Load::new()
    }
}
