use std::time::Duration;

use crate::time::Time;

/// The span over which extra requests are counted.
const SPAN: Duration = Duration::from_secs(10);

/// The number of parts of the span. One part more is counted, so that the count covers every window
/// of the length of the span.
const PARTS: usize = 20;

/// The share of the allowance that nodes use. The rest covers nodes that restarted and lost their
/// counts.
const USED_SHARE: f64 = 0.8;

/// The share of the burst that a process uses in the first [`SPAN`] after its start: a process that
/// it replaces may have used the rest, and its count is lost.
const STARTED_SHARE: f64 = 0.2;

/// A process that has just started may know only one in this many of the nodes that share the
/// burst.
const UNKNOWN_FACTOR: f64 = 4.0;

/// The share of the limit that hedges leave to retries, which replace lost attempts.
const HEDGE_RESERVE: f64 = 0.4;

/// Limits the extra requests that this node sends to one service in a sliding window. The limit is
/// a ratio of the requests that the node received, and its share of a burst for all nodes together.
/// The time counts from the start of the process.
#[derive(Clone, Debug)]
pub struct Window {
    counts: [Count; PARTS + 1],
    /// The number of the current part, counted from time zero.
    part: u64,
    /// Added to the limit before it is rounded down, below 1.
    rounding: f64,
}

/// The limit on the extra requests of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The extra requests per request.
    pub ratio: f64,
    /// The extra requests per window on top of the ratio.
    pub burst: f64,
    /// The number of nodes that share the burst.
    pub nodes: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u32,
    extras: u32,
}

impl Window {
    /// Creates a window without requests.
    pub fn new() -> Window {
        Window { counts: [Count::default(); PARTS + 1], part: 0, rounding: 0.0 }
    }

    /// Adds `rounding`, a random number from 0 to 1, to the limit. Extra requests are whole: of many
    /// nodes with a share of 1.3 each, some may send two, so that all together use up their shares.
    pub fn with_rounding(self, rounding: f64) -> Window {
        Window { rounding, ..self }
    }

    /// Records a request of a caller.
    pub fn on_request(&mut self, now: Time) {
        self.current(now).requests += 1;
    }

    /// Counts a retry of a lost attempt, if the limit allows it. Returns whether it does.
    pub fn spend_retry(&mut self, allowance: &Allowance, now: Time) -> bool {
        self.spend(allowance, 0.0, now)
    }

    /// Counts a hedge of an attempt that may still succeed, if the limit less the reserve for
    /// retries allows it. Returns whether it does.
    pub fn spend_hedge(&mut self, allowance: &Allowance, now: Time) -> bool {
        self.spend(allowance, HEDGE_RESERVE, now)
    }

    /// Returns the number of extra requests in the window.
    pub fn extras(&self) -> u32 {
        self.counts.iter().map(|it| it.extras).sum()
    }

    /// Returns whether there was no request in the window.
    pub fn is_empty(&mut self, now: Time) -> bool {
        self.current(now);
        self.counts.iter().all(|it| it.requests == 0 && it.extras == 0)
    }

    /// Returns how many hedges the limit allows now.
    pub fn hedges_left(&mut self, allowance: &Allowance, now: Time) -> f64 {
        self.left(allowance, HEDGE_RESERVE, now)
    }

    fn spend(&mut self, allowance: &Allowance, reserve: f64, now: Time) -> bool {
        if self.left(allowance, reserve, now) < 1.0 {
            return false;
        }
        self.current(now).extras += 1;
        true
    }

    /// Returns how many extra requests the limit less a reserve allows.
    fn left(&mut self, allowance: &Allowance, reserve: f64, now: Time) -> f64 {
        self.current(now);
        // The oldest part lies partly outside the span. To stay below the limit in every window,
        // its extra requests count and its requests don't.
        let oldest = ((self.part + 1) % (PARTS as u64 + 1)) as usize;
        let requests: u32 = self.counts.iter().map(|it| it.requests).sum();
        let requests = f64::from(requests - self.counts[oldest].requests);
        let burst = allowance.burst / f64::from(allowance.nodes.max(1));
        let is_new = now < Time::ZERO + SPAN;
        let burst_share = if is_new { STARTED_SHARE / UNKNOWN_FACTOR } else { USED_SHARE };
        let limit =
            (allowance.ratio * requests * USED_SHARE + burst * burst_share) * (1.0 - reserve);
        limit + self.rounding - f64::from(self.extras())
    }

    fn current(&mut self, now: Time) -> &mut Count {
        let part_micros = SPAN.as_micros() as u64 / PARTS as u64;
        let part = now.as_micros() / part_micros;
        let elapsed = part.saturating_sub(self.part).min(PARTS as u64 + 1);
        for step in 0..elapsed {
            let index = (part - step) % (PARTS as u64 + 1);
            self.counts[index as usize] = Count::default();
        }
        self.part = self.part.max(part);
        &mut self.counts[(self.part % (PARTS as u64 + 1)) as usize]
    }
}

impl Default for Window {
    fn default() -> Window {
        Window::new()
    }
}
