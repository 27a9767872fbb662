use std::{collections::BTreeMap, time::Duration};

use mimosabridge_standin::server::Stats;
use serde::Serialize;

use super::tally::Counts;

/// The results of the load on one rule.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The rule.
    pub rule: String,
    /// Answers per second to requests that were not cancelled.
    pub answers_per_second: f64,
    /// Requests that callers cancelled, per second.
    pub cancelled_per_second: f64,
    /// Latency quantiles in milliseconds.
    pub latency_ms: Quantiles,
    /// Answers by verdict.
    pub verdicts: BTreeMap<String, u64>,
    /// The fraction of the shards that the answers covered.
    pub coverage: f64,
    /// Number of missing shards by reason.
    pub missing: BTreeMap<String, u64>,
    /// The load on the servers under the rule.
    pub servers: Load,
}

/// Latency quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// Median; 50 in 100 answers took at most this long.
    pub p50: f64,
    /// 95 in 100 answers took at most this long.
    pub p95: f64,
    /// 99 in 100 answers took at most this long.
    pub p99: f64,
    /// 999 in 1,000 answers took at most this long.
    pub p999: f64,
    /// The longest latency.
    pub max: f64,
}

/// The load on servers during the measurement.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Load {
    /// Requests that were started, per second.
    pub started_per_second: f64,
    /// Requests that were refused before they started, per second.
    pub refused_per_second: f64,
    /// The fraction of the busy time that was spent on requests that were then cancelled.
    pub wasted: f64,
    /// The most requests that ran at once on one server.
    pub peak_running: u32,
    /// The most requests that ran at once on one cold server.
    pub peak_cold: u32,
    /// Connections that were opened, per second.
    pub connections_per_second: f64,
    /// The most connections that were open at once to one server.
    pub peak_connections: u32,
}

impl Report {
    /// Creates the report of a rule.
    pub fn new(rule: String, counts: Counts, servers: Load, counted: Duration) -> Report {
        let seconds = counted.as_secs_f64();
        let millis = |quantile| counts.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        Report {
            rule,
            answers_per_second: counts.latency.len() as f64 / seconds,
            cancelled_per_second: counts.cancelled as f64 / seconds,
            latency_ms: Quantiles {
                p50: millis(0.5),
                p95: millis(0.95),
                p99: millis(0.99),
                p999: millis(0.999),
                max: millis(1.0),
            },
            verdicts: counts.verdicts,
            coverage: counts.covered as f64 / counts.shards.max(1) as f64,
            missing: counts.missing,
            servers,
        }
    }
}

impl Load {
    /// Creates the load on servers from their counts before and after.
    pub fn between(before: &[Stats], after: &[Stats], counted: Duration) -> Load {
        let seconds = counted.as_secs_f64();
        let sum = |stats: &[Stats], of: fn(&Stats) -> u64| stats.iter().map(of).sum::<u64>();
        let increase = |of: fn(&Stats) -> u64| (sum(after, of) - sum(before, of)) as f64;
        let peak = |of: fn(&Stats) -> u32| after.iter().map(of).max().unwrap_or_default();
        Load {
            started_per_second: increase(|it| it.started) / seconds,
            refused_per_second: increase(|it| it.refused) / seconds,
            wasted: increase(|it| it.wasted_micros) / increase(|it| it.busy_micros).max(1.0),
            peak_running: peak(|it| it.peak_running),
            peak_cold: peak(|it| it.peak_cold),
            connections_per_second: increase(|it| it.connections_opened) / seconds,
            peak_connections: peak(|it| it.peak_connections),
        }
    }
}
