use std::time::Duration;

use crate::{retry::Latency, time::Time};

/// The quantile of the latency at which a second server is asked.
const HEDGE_QUANTILE: f64 = 0.92;

/// How often the quantile is worked out.
const REFRESH: Duration = Duration::from_millis(250);

/// The part of the objective that a first estimate assumes as usual latency, as a divisor.
const USUAL_DIVISOR: u32 = 6;

/// The part of the objective after which a hedge is due at the latest, as a divisor. Later, the
/// answer to the hedge would come too late.
const HEDGE_DIVISOR: u32 = 3;

/// Weight of a new sample in the usual latency, as a divisor.
const WEIGHT: u32 = 32;

/// A sample above this many times the usual latency says more of the server than of the work.
const OUTLIER: u32 = 3;

/// The usual latency of the requests of one rule at a server of usual speed.
#[derive(Clone, Debug)]
pub struct Pace {
    objective: Duration,
    usual: Duration,
    latency: Latency,
    hedge: Option<Duration>,
    refreshed: Time,
}

impl Pace {
    /// Creates the pace of a rule without samples.
    pub fn new(objective: Duration) -> Pace {
        Pace {
            objective,
            usual: objective / USUAL_DIVISOR,
            latency: Latency::new(),
            hedge: None,
            refreshed: Time::ZERO,
        }
    }

    /// Takes the latency of an answer.
    pub fn record(&mut self, latency: Duration, now: Time) {
        self.latency.record(latency, now);
        let sample = latency.min(self.usual * OUTLIER);
        self.usual = (self.usual * (WEIGHT - 1) + sample) / WEIGHT;
        if now.since(self.refreshed) >= REFRESH {
            self.refreshed = now;
            self.hedge = self.latency.quantile(HEDGE_QUANTILE);
        }
    }

    /// Returns the usual latency.
    pub fn usual(&self) -> Duration {
        self.usual
    }

    /// Returns how long to wait for an answer before another server is asked.
    pub fn hedge(&self) -> Duration {
        let latest = self.objective / HEDGE_DIVISOR;
        self.hedge.unwrap_or(latest).clamp(self.usual.min(latest), latest)
    }
}
