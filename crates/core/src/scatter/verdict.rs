use std::time::Duration;

/// The final answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The answer of the attempt with this number is passed on unchanged, success or error.
    Pass(usize),
    /// The answers of these attempts are merged.
    Merge {
        /// The numbers of the attempts, one for each shard that answered.
        attempts: Vec<usize>,
        /// The number of shards without an answer.
        missing: usize,
    },
    /// The request did not run and will not run later.
    Refuse(Refusal),
    /// The request failed; it may have run.
    Fail(Failure),
}

/// Why a request was refused without having run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// How long the caller should wait before it retries.
    pub retry_after: Duration,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The servers sent no valid answer, or their connections broke.
    Broken,
    /// No answer arrived in time.
    TimedOut,
}
