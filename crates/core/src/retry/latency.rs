use std::time::Duration;

use hdrhistogram::Histogram;

use crate::time::Time;

/// How long a window collects samples before the next one starts.
const WINDOW: Duration = Duration::from_secs(10);

/// The fewest samples from which a quantile is computed.
const MIN_SAMPLES: u64 = 50;

/// The quantile of latencies that are no longer recent and still show how long a request may take: a single
/// slow one among some does not.
const USUAL_QUANTILE: f64 = 0.75;

/// The largest latency that is recorded, in microseconds. Longer ones count as this one.
const MAX_MICROS: u64 = 60_000_000;

/// The most rules whose latencies a node records: each takes some 20 KB.
pub const MAX_LATENCIES: usize = 1_024;

/// Records latencies in the current and the previous window.
#[derive(Clone, Debug)]
pub struct Latency {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    current_start: Time,
    previous_start: Time,
}

impl Latency {
    /// Creates an empty record.
    pub fn new() -> Latency {
        let empty = Histogram::new_with_bounds(1, MAX_MICROS, 2).expect("bounds are valid");
        Latency {
            current: empty.clone(),
            previous: empty,
            current_start: Time::ZERO,
            previous_start: Time::ZERO,
        }
    }

    /// Records a latency.
    pub fn record(&mut self, latency: Duration, now: Time) {
        if now.since(self.current_start) >= WINDOW {
            self.previous_start = self.current_start;
            self.current_start = now;
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record(latency.as_micros() as u64);
    }

    /// Returns the longest recent latency, or zero without samples in the windows that count at `now`.
    /// A window counts while it collects samples and for as long again.
    pub fn longest(&self, now: Time) -> Duration {
        let windows = [(self.current_start, &self.current), (self.previous_start, &self.previous)];
        let recent = windows.into_iter().filter(|(start, _)| now.since(*start) < 2 * WINDOW);
        Duration::from_micros(recent.map(|(_, it)| it.max()).max().unwrap_or(0))
    }

    /// Returns what three quarters of the samples of the last two windows with samples took at most,
    /// however old they are, or zero without samples.
    pub fn usual(&self) -> Duration {
        let mut all = self.current.clone();
        all.add(&self.previous).expect("both have the same bounds");
        Duration::from_micros(all.value_at_quantile(USUAL_QUANTILE))
    }

    /// Returns a quantile between 0 and 1, or `None` while there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let (fuller, other) = if self.current.len() >= MIN_SAMPLES {
            (&self.current, &self.previous)
        } else {
            (&self.previous, &self.current)
        };
        if fuller.len() + other.len() < MIN_SAMPLES {
            return None;
        }
        let source = if fuller.len() >= MIN_SAMPLES { fuller } else { other };
        Some(Duration::from_micros(source.value_at_quantile(quantile)))
    }
}

impl Default for Latency {
    fn default() -> Latency {
        Latency::new()
    }
}
