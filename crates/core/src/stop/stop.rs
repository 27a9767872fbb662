use std::time::Duration;

use super::Phase;
use crate::time::Time;

/// The load balancer checks readiness once a second and removes a node after two failed checks.
/// Requests that it has routed to the node until then take a moment to arrive.
const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// After [`BALANCER_DELAY`], a node that has had no requests for this long can end.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// The fraction of the grace period after which idle connections are closed.
const CLOSE_FRACTION: f64 = 0.78;

/// The fraction of the grace period after which the process ends, even if requests are running.
const END_FRACTION: f64 = 0.94;

/// The progress of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    began: Time,
    grace: Duration,
    last_request: Time,
}

impl Stop {
    /// Creates a stop that begins at `now`. The process is killed `grace` later.
    pub fn new(grace: Duration, now: Time) -> Stop {
        Stop { began: now, grace, last_request: now }
    }

    /// Records that a request arrived.
    pub fn on_request(&mut self, now: Time) {
        self.last_request = now;
    }

    /// Returns the phase of the stop while `running` requests are in progress.
    pub fn phase(&self, running: usize, now: Time) -> Phase {
        let elapsed = now.since(self.began);
        let is_quiet = running == 0 && now.since(self.last_request) >= QUIET_TIME;
        let is_over = elapsed >= self.grace.mul_f64(END_FRACTION);
        if is_over || is_quiet && elapsed >= BALANCER_DELAY.min(self.grace.mul_f64(CLOSE_FRACTION))
        {
            return Phase::Ended;
        }
        if elapsed < self.grace.mul_f64(CLOSE_FRACTION) { Phase::Leaving } else { Phase::Closing }
    }

    /// Returns the latest time at which the process ends.
    pub fn end(&self) -> Time {
        self.began + self.grace.mul_f64(END_FRACTION)
    }
}
