use std::time::Duration;

/// The load that the callers of one rule generate.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// The name of the rule.
    pub rule: String,
    /// Requests per second.
    pub rate: f64,
    /// The share of requests that callers cancel, from 0 to 1, after a random part of the deadline.
    pub cancelled: f64,
    /// The time after which the callers no longer wait for an answer.
    pub deadline: Duration,
}
