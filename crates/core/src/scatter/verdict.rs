use std::time::Duration;

/// The final answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The answer of one attempt is passed on as it is, success or failure.
    Pass(usize),
    /// The answers of these attempts are merged.
    Merge {
        /// The attempts, one for each shard that is in.
        attempts: Vec<usize>,
        /// The shards that are left out.
        missing: usize,
    },
    /// The request has not run and never will.
    Refuse(Refusal),
    /// The request failed; it may have run.
    Fail(Failure),
}

/// Why a request was refused without having run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// What the servers sent is no answer, or their connections broke.
    Broken,
    /// No answer came in time.
    TimedOut,
}
