use std::time::Duration;

use crate::{
    name::Name,
    recent::Recent,
    retry::{Latency, MAX_LATENCIES},
    time::Time,
};

/// How long requests take that other nodes serve in the place of this one, by rule. This node measures
/// no server meanwhile, and must know in a planned stop what can still be answered.
#[derive(Clone, Debug)]
pub struct Latencies {
    by_rule: Recent<Latency>,
}

impl Latencies {
    /// Creates a record without samples.
    pub fn new() -> Latencies {
        Latencies { by_rule: Recent::new(MAX_LATENCIES) }
    }

    /// Records for how long another node took to serve a request of a rule.
    pub fn record(&mut self, rule: &Name, latency: Duration, now: Time) {
        self.by_rule.get_or_insert_with(rule, Latency::new).record(latency, now);
    }

    /// Drops the record of rules for which a condition does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(&Name) -> bool) {
        self.by_rule.retain(is_kept);
    }

    /// Returns how long a relayed request of a rule may take: the longest recent latency. While this node
    /// has lost the servers (`is_lost`), older ones show something too, as it measures no others. Returns
    /// zero if nothing is known.
    pub fn longest(&self, rule: &Name, is_lost: bool, now: Time) -> Duration {
        let Some(latency) = self.by_rule.get(rule) else { return Duration::ZERO };
        let usual = if is_lost { latency.usual() } else { Duration::ZERO };
        latency.longest(now).max(usual)
    }
}

impl Default for Latencies {
    fn default() -> Latencies {
        Latencies::new()
    }
}
