use std::time::Duration;

use crate::{plan::Rule, time::Time};

/// The share of the objective that is reserved for the network path to the caller and for late
/// timers.
const OBJECTIVE_MARGIN_RATIO: f64 = 0.08;

/// The least time that is reserved for the network path to the caller and for late timers. The
/// path takes a few milliseconds each way, and a new connection takes one round trip more.
const MIN_OBJECTIVE_MARGIN: Duration = Duration::from_millis(12);

/// How long before the caller's deadline the final answer is due.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// A request must reach a server within the objective divided by this. One that finds no server
/// with room by then is better retried elsewhere.
const DISPATCH_DIVISOR: u32 = 5;

/// An answer to a hedge is expected in time if this many times the usual latency is left for it.
const HEDGE_TIME_FACTOR: f64 = 1.5;

/// The time that is left beyond that for the connection of a hedge.
const HEDGE_CONNECT_TIME: Duration = Duration::from_millis(6);

/// The deadlines of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timing {
    /// When an answer from the minimum share of the shards is sent instead of waiting for the rest.
    pub soft_deadline: Time,
    /// When the final answer is due at the latest.
    pub hard_deadline: Time,
    /// When a request that has not reached any server is refused.
    pub dispatch_by: Time,
}

impl Timing {
    /// Computes the deadlines of a request that arrived now and whose caller waits for
    /// `caller_timeout`.
    pub fn new(rule: &Rule, caller_timeout: Duration, now: Time) -> Timing {
        let margin = rule.objective.mul_f64(OBJECTIVE_MARGIN_RATIO).max(MIN_OBJECTIVE_MARGIN);
        let hard_deadline = now + caller_timeout.saturating_sub(DEADLINE_MARGIN).min(rule.timeout);
        let soft_deadline = (now + rule.objective.saturating_sub(margin)).min(hard_deadline);
        Timing {
            soft_deadline,
            hard_deadline,
            dispatch_by: now + rule.objective / DISPATCH_DIVISOR,
        }
    }

    /// Moves the deadlines to a time at the latest.
    pub fn end_at(&mut self, end: Time) {
        self.soft_deadline = self.soft_deadline.min(end);
        self.hard_deadline = self.hard_deadline.min(end);
    }

    /// Returns until when the answer to a hedge is expected before the soft deadline.
    pub fn last_hedge(&self, usual: Duration) -> Time {
        self.soft_deadline.before(usual.mul_f64(HEDGE_TIME_FACTOR) + HEDGE_CONNECT_TIME)
    }
}
