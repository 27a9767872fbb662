use serde::{Deserialize, Serialize};

/// Counts of what one or several nodes observed at a server in a short time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// The answers, including slow ones and those that did not come in time.
    pub answers: u16,
    /// The answers that took much longer than usual.
    pub slow: u16,
    /// The requests that the server failed or rejected, or that did not reach it.
    pub failures: u16,
}

/// The report of one node about one server, as it is sent to other nodes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sample {
    /// The hash of the server's name.
    pub server: u32,
    /// The counts since the previous report.
    pub tally: Tally,
}

impl Tally {
    /// Adds the counts of another tally. The sums saturate.
    pub fn add(&mut self, other: Tally) {
        self.answers = self.answers.saturating_add(other.answers);
        self.slow = self.slow.saturating_add(other.slow);
        self.failures = self.failures.saturating_add(other.failures);
    }

    /// Returns the share of the answers that were slow, or `None` if there are fewer than `least`
    /// answers.
    pub fn slow_share(&self, least: u16) -> Option<f64> {
        let is_enough = self.answers >= least;
        is_enough.then(|| f64::from(self.slow) / f64::from(self.answers))
    }

    /// Returns the share of the requests that failed, or `None` if there are fewer than `least`
    /// requests.
    pub fn failure_share(&self, least: u16) -> Option<f64> {
        let all = self.answers.saturating_add(self.failures);
        (all >= least).then(|| f64::from(self.failures) / f64::from(all))
    }
}
