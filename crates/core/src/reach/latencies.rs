use std::{collections::HashMap, time::Duration};

use crate::{name::Name, retry::Latency, time::Time};

/// How long requests take that other nodes serve in the place of this one, by rule. This node measures
/// no server meanwhile, and must know in a planned stop what can still be answered.
#[derive(Clone, Debug, Default)]
pub struct Latencies {
    by_rule: HashMap<Name, Latency>,
}

impl Latencies {
    /// Creates a record without samples.
    pub fn new() -> Latencies {
        Latencies::default()
    }

    /// Records for how long another node took to serve a request of a rule.
    pub fn record(&mut self, rule: &Name, latency: Duration, now: Time) {
        self.by_rule.entry(rule.clone()).or_default().record(latency, now);
    }

    /// Returns the longest latency of the relayed requests of a rule lately, or zero without samples.
    pub fn longest(&self, rule: &Name) -> Duration {
        self.by_rule.get(rule).map_or(Duration::ZERO, Latency::longest)
    }
}
