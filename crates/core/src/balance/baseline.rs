use std::time::Duration;

use crate::{retry::Latency, time::Time};

/// The quantile of the latency after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.92;

/// How often the quantile is computed anew.
const REFRESH: Duration = Duration::from_millis(250);

/// The usual latency before the first sample is the objective divided by this.
const USUAL_DIVISOR: u32 = 6;

/// The longest hedge delay is the objective divided by this. The answer to a later hedge would miss
/// the objective.
const HEDGE_DIVISOR: u32 = 3;

/// A new sample counts in the usual latency with a weight of one divided by this.
const WEIGHT_DIVISOR: u32 = 32;

/// Samples are capped at this many times the usual latency: a longer one is due to the state of the
/// server rather than to the work.
const OUTLIER_FACTOR: u32 = 3;

/// The latency of the requests of one rule at a server of usual speed.
#[derive(Clone, Debug)]
pub struct Baseline {
    objective: Duration,
    usual: Duration,
    latency: Latency,
    hedge: Option<Duration>,
    refreshed: Time,
}

impl Baseline {
    /// Creates the baseline of a rule with this latency objective, without samples.
    pub fn new(objective: Duration) -> Baseline {
        Baseline {
            objective,
            usual: objective / USUAL_DIVISOR,
            latency: Latency::new(),
            hedge: None,
            refreshed: Time::ZERO,
        }
    }

    /// Records the latency of an answer.
    pub fn record(&mut self, latency: Duration, now: Time) {
        self.latency.record(latency, now);
        let sample = latency.min(self.usual * OUTLIER_FACTOR);
        self.usual = (self.usual * (WEIGHT_DIVISOR - 1) + sample) / WEIGHT_DIVISOR;
        if now.since(self.refreshed) >= REFRESH {
            self.refreshed = now;
            self.hedge = self.latency.quantile(HEDGE_QUANTILE);
        }
    }

    /// Returns the usual latency.
    pub fn usual_latency(&self) -> Duration {
        self.usual
    }

    /// Returns how long a request may take: the longest recent latency. Without recent samples older
    /// ones count, unless few of them took so long. Returns zero without any.
    pub fn longest_latency(&self, now: Time) -> Duration {
        self.latency.longest(now).max(self.latency.usual())
    }

    /// Returns how long to wait for an answer before a hedge is sent to another server.
    pub fn hedge_delay(&self) -> Duration {
        let latest = self.objective / HEDGE_DIVISOR;
        self.hedge.unwrap_or(latest).clamp(self.usual.min(latest), latest)
    }
}
