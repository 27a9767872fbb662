use std::time::Duration;

use super::Tally;
use crate::time::Time;

/// The span over which reports are added up. Each node sends several reports in it.
const WINDOW: Duration = Duration::from_millis(900);

/// The fewest answers or requests in a window from which a share is computed.
const MIN_SAMPLES: u16 = 4;

/// The share of slow answers from which a server counts as slow. A server that pauses for a quarter
/// of a second stays below it in every window.
const MIN_SLOW_SHARE: f64 = 0.7;

/// The slowness that is assumed for a slow server: the factor on the usual latency.
const SLOWNESS: f64 = 6.0;

/// The share of failed requests from which a server counts as failing.
const MIN_FAILURE_SHARE: f64 = 0.15;

/// How long a server stays suspect after the last report of a slow answer or a failure.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// Combines the reports of this node and the nodes nearby about one server.
///
/// It serves this load pattern: of many nodes, each sends so few requests to each server that none
/// can detect by itself which servers are slow or reject requests, before the trouble ends after a
/// few seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Aggregate {
    tally: Tally,
    window_start: Time,
    /// Whether the server was slow in the last window that had enough answers.
    was_slow: bool,
    slow_until: Time,
    failures: f64,
    failing_until: Time,
    suspect_until: Time,
}

impl Aggregate {
    /// Adds the report of a node. If the server counts as slow or failing then, it does so for
    /// `hold`. Returns whether the server is newly slow or newly failing.
    pub fn on_tally(&mut self, tally: Tally, hold: Duration, now: Time) -> bool {
        let before = (self.is_slow(now), self.failures(now) > 0.0);
        if now.since(self.window_start) >= WINDOW {
            self.evaluate_slowness(hold, now);
            self.tally = Tally::default();
            self.window_start = now;
        }
        self.tally.add(tally);
        if tally.slow > 0 || tally.failures > 0 {
            self.suspect_until = now + SUSPECT_TIME;
        }
        self.evaluate_failures(hold, now);
        let after = (self.is_slow(now), self.failures(now) > 0.0);
        (after.0 && !before.0) || (after.1 && !before.1)
    }

    /// Returns whether nodes should report their good answers from the server, too.
    pub fn is_suspect(&self, now: Time) -> bool {
        now < self.suspect_until || self.is_slow(now) || now < self.failing_until
    }

    /// Returns how many times longer than usual the server takes, according to the reports.
    pub fn slowness(&self, now: Time) -> f64 {
        if self.is_slow(now) { SLOWNESS } else { 1.0 }
    }

    /// Returns the share of the requests that fail, according to the reports.
    pub fn failures(&self, now: Time) -> f64 {
        if now < self.failing_until { self.failures } else { 0.0 }
    }

    fn is_slow(&self, now: Time) -> bool {
        now < self.slow_until
    }

    /// A server becomes slow after two slow windows in a row. After that, each slow window prolongs
    /// the state, and one that is not slow ends it.
    fn evaluate_slowness(&mut self, hold: Duration, now: Time) {
        let Some(share) = self.tally.slow_share(MIN_SAMPLES) else { return };
        let is_slow = share >= MIN_SLOW_SHARE;
        if !is_slow {
            self.slow_until = now;
        } else if self.was_slow || self.is_slow(now) {
            self.slow_until = now + hold;
        }
        self.was_slow = is_slow;
    }

    fn evaluate_failures(&mut self, hold: Duration, now: Time) {
        let Some(share) = self.tally.failure_share(MIN_SAMPLES) else { return };
        if share >= MIN_FAILURE_SHARE {
            self.failures = share;
            self.failing_until = now + hold;
        } else {
            self.failing_until = self.failing_until.min(now);
        }
    }
}
