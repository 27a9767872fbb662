use std::time::Duration;

use crate::time::Time;

/// How long a request that the quota allowed may still be sent. A quota that is saved for longer
/// would let all nodes send at once when traffic returns.
const SAVE_TIME: Duration = Duration::from_secs(1);

/// The span over which the platform counts requests to a limited server, in seconds.
const SPAN_SECONDS: f64 = 4.0;

/// The share of the limit that nodes use when chance decides how many of them send at once.
const MIN_USED_SHARE: f64 = 0.75;

/// The least rate to a limited server, in requests per second of all nodes together. Only an answer
/// shows that the limit has ended.
const MIN_RATE: f64 = 0.1;

/// The share of this node in the rate that a server takes from all nodes together.
///
/// Each node may send at regular moments, which are spread over the nodes at random, and can't save
/// what it does not use. With many nodes and a low limit, a node may send once in several seconds.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// The requests per second that the server takes.
    limit: f64,
    /// The requests that this node may send now, with the fraction of the next one.
    credit: f64,
    updated: Time,
    /// When the server last stated the limit.
    stated: Time,
}

impl Quota {
    /// Creates the quota of a server that has stated a limit for the first time. `phase`, from 0 to
    /// 1, is the time until the first request as a share of the time between two.
    pub fn new(limit: f64, phase: f64, now: Time) -> Quota {
        Quota { limit, credit: phase, updated: now, stated: now }
    }

    /// Returns when the server last stated the limit.
    pub fn stated(&self) -> Time {
        self.stated
    }

    /// Records that the server stated a limit.
    pub fn on_stated(&mut self, limit: f64, nodes: u32, now: Time) {
        self.update(nodes, now);
        self.limit = limit;
        self.stated = now;
    }

    /// Returns whether this node, one of `nodes`, may send a request.
    pub fn has_credit(&self, nodes: u32, now: Time) -> bool {
        self.credit(nodes, now) >= 1.0
    }

    /// Records that this node sent a request.
    pub fn on_sent(&mut self, nodes: u32, now: Time) {
        self.update(nodes, now);
        self.credit -= 1.0;
    }

    /// Returns the mean time until any of the nodes may send a request.
    pub fn interval(&self, nodes: u32) -> Duration {
        Duration::from_secs_f64(1.0 / (self.rate(nodes) * f64::from(nodes.max(1))))
    }

    /// Returns the requests per second that this node may send.
    fn rate(&self, nodes: u32) -> f64 {
        let nodes = f64::from(nodes.max(1));
        // What the platform allows in its span, less one request of each node, is certain to hold
        // for the requests of the span and those saved before it.
        let allowed = 1.5 * self.limit * SPAN_SECONDS + 5.0 - nodes;
        let most = self.limit * (SPAN_SECONDS + SAVE_TIME.as_secs_f64());
        let share = (allowed / most).clamp(MIN_USED_SHARE, 1.0);
        (self.limit * share).max(MIN_RATE) / nodes
    }

    fn update(&mut self, nodes: u32, now: Time) {
        self.credit = self.credit(nodes, now);
        self.updated = now;
    }

    fn credit(&self, nodes: u32, now: Time) -> f64 {
        let rate = self.rate(nodes);
        let credit = self.credit + rate * now.since(self.updated).as_secs_f64();
        let saved = rate * SAVE_TIME.as_secs_f64();
        credit - (credit - saved).floor().max(0.0)
    }
}
