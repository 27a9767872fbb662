use std::time::Duration;

/// How the callers of one rule behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// The rule.
    pub rule: String,
    /// Requests per second.
    pub rate: f64,
    /// The part of the requests that callers cancel, after a random part of the deadline.
    pub cancelled: f64,
    /// The longest time that a request may take.
    pub deadline: Duration,
}
