use std::time::Duration;

use crate::time::Time;

/// The minimum time between two reports. While a fleet is replaced, every packet may hold something
/// unknown.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Counts what was passed over because this build doesn't know it, and determines when to report it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unknown {
    unreported: u64,
    last_report: Option<Time>,
}

impl Unknown {
    /// Creates a count of zero.
    pub fn new() -> Unknown {
        Unknown::default()
    }

    /// Adds what was passed over. Returns the number since the last report, if one is due.
    pub fn add(&mut self, count: u32, now: Time) -> Option<u64> {
        self.unreported += u64::from(count);
        let is_due = self.last_report.is_none_or(|it| now.since(it) >= REPORT_INTERVAL);
        if count == 0 || !is_due {
            return None;
        }
        self.last_report = Some(now);
        Some(std::mem::take(&mut self.unreported))
    }
}
