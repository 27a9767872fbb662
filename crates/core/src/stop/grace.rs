use std::time::Duration;

/// How long the process may continue to run after the signal to stop, if that may change while it runs.
#[derive(Clone, Copy, Debug)]
pub struct Grace {
    at_start: Duration,
    latest: Duration,
}

impl Grace {
    /// Creates the grace time with which the process starts.
    pub fn new(at_start: Duration) -> Grace {
        Grace { at_start, latest: at_start }
    }

    /// Records what the grace time is said to be now.
    pub fn update(&mut self, latest: Duration) {
        self.latest = latest;
    }

    /// Returns the time to plan a stop with: the process may be killed after either.
    pub fn time(&self) -> Duration {
        self.latest.min(self.at_start)
    }
}
