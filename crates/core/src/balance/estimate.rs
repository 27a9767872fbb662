use std::time::Duration;

/// How soon a service is expected to answer. Services that can be tried at once compare less.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Estimate {
    /// Whether every server of the service is marked down.
    pub is_down: bool,
    /// The time until the answer of the best server, provided that the server is reached.
    pub answer: Duration,
    /// The part of that time for which the request waits for a connection.
    pub wait: Duration,
}

impl Estimate {
    /// Returns the estimate for a request that waits longer for a connection.
    pub(super) fn delayed(self, by: Duration) -> Estimate {
        Estimate { answer: self.answer + by, wait: self.wait + by, ..self }
    }
}
