use std::time::Duration;

use crate::{plan::Rule, time::Time};

/// The part of the objective that the way to the caller and late timers may take.
const MARGIN: f64 = 0.08;

/// The least time that the way to the caller and late timers may take: a link to a caller has a
/// few milliseconds each way, and a new connection one round trip more.
const MARGIN_LEAST: Duration = Duration::from_millis(12);

/// How long before the caller's deadline it gets its final answer.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// The part of the objective within which a request must reach a server, as a divisor. One that
/// finds no room by then does better elsewhere.
const PLACE_DIVISOR: u32 = 5;

/// When something is due in the life of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timing {
    /// When an answer with the least share of the shards is better than waiting.
    pub soft: Time,
    /// When the final answer is due.
    pub hard: Time,
    /// When a request that no server got is refused.
    pub place_by: Time,
}

impl Timing {
    /// Works out the times of a request that came now and whose caller waits for `patience`.
    pub fn new(rule: &Rule, patience: Duration, now: Time) -> Timing {
        let margin = rule.objective.mul_f64(MARGIN).max(MARGIN_LEAST);
        let hard = now + patience.saturating_sub(DEADLINE_MARGIN).min(rule.timeout);
        let soft = (now + rule.objective.saturating_sub(margin)).min(hard);
        Timing { soft, hard, place_by: now + rule.objective / PLACE_DIVISOR }
    }
}
