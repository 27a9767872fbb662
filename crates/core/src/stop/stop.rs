use std::time::Duration;

use super::Phase;
use crate::time::Time;

/// The balancer asks once a second, needs two misses, and callers that it sent meanwhile need a
/// moment to be read.
const BALANCER_TIME: Duration = Duration::from_millis(2_500);

/// A node without requests for this long after [`BALANCER_TIME`] has nothing left to do.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// The part of the grace time after which idle connections are closed.
const CLOSE_PART: f64 = 0.78;

/// The part of the grace time after which the process ends whatever is under way.
const END_PART: f64 = 0.94;

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    began: Time,
    grace: Duration,
    last_request: Time,
}

impl Stop {
    /// Creates the stop that began now; after `grace` the process is killed.
    pub fn new(grace: Duration, now: Time) -> Stop {
        Stop { began: now, grace, last_request: now }
    }

    /// Takes note of a request that came.
    pub fn on_request(&mut self, now: Time) {
        self.last_request = now;
    }

    /// Returns how far the stop is, with `running` requests under way.
    pub fn phase(&self, running: usize, now: Time) -> Phase {
        let elapsed = now.since(self.began);
        let is_quiet = running == 0 && now.since(self.last_request) >= QUIET_TIME;
        let is_over = elapsed >= self.grace.mul_f64(END_PART);
        if is_over || is_quiet && elapsed >= BALANCER_TIME.min(self.grace.mul_f64(CLOSE_PART)) {
            return Phase::Ended;
        }
        if elapsed < self.grace.mul_f64(CLOSE_PART) { Phase::Leaving } else { Phase::Closing }
    }

    /// Returns when the process ends at the latest.
    pub fn end(&self) -> Time {
        self.began + self.grace.mul_f64(END_PART)
    }
}
