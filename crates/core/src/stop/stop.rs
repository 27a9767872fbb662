use std::time::Duration;

use super::{Load, Phase};
use crate::{
    plan::{Repeat, Rule},
    time::Time,
};

/// The load balancer checks readiness once a second and removes a node after two failed checks.
/// Requests that it has routed to the node until then take a moment to arrive.
const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// After [`BALANCER_DELAY`], a node that has had no requests for this long closes its connections.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// The fraction of the grace period after which idle connections are closed.
const CLOSE_FRACTION: f64 = 0.78;

/// The fraction of the grace period after which the final answers to all requests are due. The rest
/// is for sending them.
const ANSWER_FRACTION: f64 = 0.9;

/// The fraction of the grace period after which other nodes are told that this node leaves, and only
/// the rest of its answers is sent.
const LEAVE_FRACTION: f64 = 0.94;

/// How long before it would be killed the process ends, whatever is left. The last log lines are written
/// in this time.
const EXIT_TIME: Duration = Duration::from_millis(150);

/// A request that may run once only must have this many times the longest recent latency left: its
/// caller can't repeat it if the answer does not come.
const ONCE_FACTOR: u32 = 2;

/// The progress of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    began: Time,
    grace: Duration,
    last_request: Time,
    is_closing: bool,
}

impl Stop {
    /// Creates a stop that begins at `now`. The process is killed `grace` later.
    pub fn new(grace: Duration, now: Time) -> Stop {
        Stop { began: now, grace, last_request: now, is_closing: false }
    }

    /// Records that a request arrived.
    pub fn on_request(&mut self, now: Time) {
        self.last_request = now;
    }

    /// Returns the phase of the stop under a load. Once the node closes its connections, it goes on to
    /// the end.
    pub fn phase(&mut self, load: Load, now: Time) -> Phase {
        if now >= self.end() {
            return Phase::Ended;
        }
        let is_quiet = load.requests == 0 && now.since(self.last_request) >= QUIET_TIME;
        let close_after = self.grace.mul_f64(CLOSE_FRACTION);
        let elapsed = now.since(self.began);
        self.is_closing |=
            elapsed >= close_after || is_quiet && elapsed >= BALANCER_DELAY.min(close_after);
        match load {
            _ if !self.is_closing => Phase::Leaving,
            Load { requests: 0, connections: 0, listeners: 0 } => Phase::Ended,
            Load { .. } if elapsed >= self.grace.mul_f64(LEAVE_FRACTION) => Phase::Sending,
            Load { .. } => Phase::Closing,
        }
    }

    /// Returns whether a request of a rule can still be answered. `longest` is the longest recent
    /// latency of such requests, and `timeout` how long the caller waits.
    pub fn admits(&self, rule: &Rule, longest: Duration, timeout: Duration, now: Time) -> bool {
        let factor = match rule.repeat {
            Repeat::Idempotent => 1,
            Repeat::Once => ONCE_FACTOR,
        };
        let needed = longest.max(rule.objective) * factor;
        now.until(self.answers_due()) >= needed.min(timeout).min(rule.timeout)
    }

    /// Returns how long a refused caller should wait: until the load balancer sends it elsewhere.
    pub fn retry_after(&self, now: Time) -> Duration {
        now.until(self.began + BALANCER_DELAY)
    }

    /// Returns when the final answers to all requests are due.
    pub fn answers_due(&self) -> Time {
        self.began + self.grace.mul_f64(ANSWER_FRACTION)
    }

    /// Returns the latest time at which the process ends.
    pub fn end(&self) -> Time {
        let longest = self.grace.mul_f64(1.0 - LEAVE_FRACTION);
        self.began + self.grace.saturating_sub(EXIT_TIME.min(longest))
    }
}
