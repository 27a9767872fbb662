use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use hdrhistogram::Histogram;

/// The largest latency that the histogram records, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Counts the outcomes of the requests under one rule. Clones share the same counts.
#[derive(Clone, Debug)]
pub struct Tally {
    counts: Arc<Mutex<Counts>>,
}

/// The counts of a tally.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Latencies of the answers to requests that were not cancelled, in microseconds.
    pub latency: Histogram<u64>,
    /// Answers by verdict; `error` stands for no answer.
    pub verdicts: BTreeMap<String, u64>,
    /// Requests that callers cancelled.
    pub cancelled: u64,
    /// Shards that the answers should have covered.
    pub shards: u64,
    /// Shards that the answers covered.
    pub covered: u64,
    /// Number of missing shards by reason.
    pub missing: BTreeMap<String, u64>,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Tally {
        let latency =
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("bounds are valid");
        let counts = Counts {
            latency,
            verdicts: BTreeMap::new(),
            cancelled: 0,
            shards: 0,
            covered: 0,
            missing: BTreeMap::new(),
        };
        Tally { counts: Arc::new(Mutex::new(counts)) }
    }

    /// Counts an answer.
    pub fn record_answer(&self, verdict: &str, latency: Duration) {
        let mut counts = self.lock();
        counts.latency.saturating_record(latency.as_micros() as u64);
        *counts.verdicts.entry(verdict.to_owned()).or_default() += 1;
    }

    /// Counts the coverage of an answer.
    pub fn record_coverage(
        &self,
        answered: u64,
        total: u64,
        missing: impl Iterator<Item = String>,
    ) {
        let mut counts = self.lock();
        counts.shards += total;
        counts.covered += answered;
        for reason in missing {
            *counts.missing.entry(reason).or_default() += 1;
        }
    }

    /// Counts a request that its caller cancelled.
    pub fn record_cancelled(&self) {
        self.lock().cancelled += 1;
    }

    /// Returns the counts and resets them.
    pub fn take(&self) -> Counts {
        let empty = Tally::new();
        let mut counts = empty.lock().clone();
        std::mem::swap(&mut counts, &mut self.lock());
        counts
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().expect("no holder of the lock panics")
    }
}

impl Default for Tally {
    fn default() -> Tally {
        Tally::new()
    }
}
