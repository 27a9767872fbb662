use std::time::Duration;

/// How soon a service is expected to answer. Services that can be tried at once compare less.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Estimate {
    /// Whether every server of the service is marked down.
    pub is_down: bool,
    /// The time until the answer of the best server, provided that the server is reached.
    pub answer: Duration,
}
