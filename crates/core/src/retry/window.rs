use std::time::Duration;

use crate::time::Time;

/// The span over which extra requests are counted.
const SPAN: Duration = Duration::from_secs(10);

/// Parts of the span. The count covers one part more, so that no window of the span is missed.
const PARTS: usize = 20;

/// The part of the allowance that nodes use: the rest covers nodes that restarted and forgot what
/// they spent.
const USED: f64 = 0.8;

/// The part of what is left that hedges leave to retries, which replace lost attempts.
const HEDGE_RESERVE: f64 = 0.4;

/// The extra requests of one service that this node may send in a sliding window: a ratio of the
/// requests that it took, and its share of a burst that all nodes have together.
#[derive(Clone, Debug)]
pub struct Window {
    counts: [Count; PARTS + 1],
    turn: u64,
}

/// What bounds the extra requests of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Extra requests for each request.
    pub ratio: f64,
    /// Extra requests beside those.
    pub burst: f64,
    /// The nodes that share the burst.
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
        Window { counts: [Count::default(); PARTS + 1], turn: 0 }
    }

    /// Takes note of a request of a caller.
    pub fn on_request(&mut self, now: Time) {
        self.current(now).requests += 1;
    }

    /// Pays for the replacement of an attempt that was lost. Returns whether there was room.
    pub fn spend_retry(&mut self, allowance: &Allowance, now: Time) -> bool {
        self.spend(allowance, 0.0, now)
    }

    /// Pays for a second attempt beside one that may still succeed. Returns whether there was room
    /// to spare.
    pub fn spend_hedge(&mut self, allowance: &Allowance, now: Time) -> bool {
        self.spend(allowance, HEDGE_RESERVE, now)
    }

    /// Returns the extra requests in the window.
    pub fn extras(&self) -> u32 {
        self.counts.iter().map(|it| it.extras).sum()
    }

    fn spend(&mut self, allowance: &Allowance, reserve: f64, now: Time) -> bool {
        self.current(now);
        // The oldest part reaches back beyond the span: its requests don't count, its extras do.
        let oldest = ((self.turn + 1) % (PARTS as u64 + 1)) as usize;
        let requests: u32 = self.counts.iter().map(|it| it.requests).sum();
        let requests = f64::from(requests - self.counts[oldest].requests);
        let burst = allowance.burst / f64::from(allowance.nodes.max(1));
        let room = (allowance.ratio * requests + burst) * USED * (1.0 - reserve);
        if f64::from(self.extras()) + 1.0 > room {
            return false;
        }
        self.current(now).extras += 1;
        true
    }

    fn current(&mut self, now: Time) -> &mut Count {
        let part = SPAN.as_micros() as u64 / PARTS as u64;
        let turn = now.as_micros() / part;
        let behind = turn.saturating_sub(self.turn).min(PARTS as u64 + 1);
        for step in 0..behind {
            let index = (turn - step) % (PARTS as u64 + 1);
            self.counts[index as usize] = Count::default();
        }
        self.turn = self.turn.max(turn);
        &mut self.counts[(self.turn % (PARTS as u64 + 1)) as usize]
    }
}

impl Default for Window {
    fn default() -> Window {
        Window::new()
    }
}
