use serde::{Deserialize, Serialize};

use super::{Coverage, Hit, merge};
use crate::{
    name::Name,
    outcome::{Refusal, Reply},
};

/// The answer to the request of a caller.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// The overall result of the request.
    pub verdict: Verdict,
    /// Why no part of the request was run, if it was refused as a whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Refusal>,
    /// A text that explains the refusal and what to do about it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// The version of the index that all hits come from, if one was pinned.
    pub snapshot: Option<u64>,
    /// How much of that snapshot the answer covers.
    pub coverage: Coverage,
    /// The merged hits, best first.
    pub hits: Vec<Hit>,
}

impl Answer {
    /// Creates the answer from the replies of the shards, which all come from `snapshot`.
    pub fn new(
        snapshot: u64,
        replies: Vec<(Name, Reply)>,
        mut coverage: Coverage,
        may_have_run: bool,
        deduplicate: bool,
        max_hits: usize,
    ) -> Answer {
        let hits = merge(replies, &mut coverage, deduplicate, max_hits);
        let verdict = Verdict::new(&coverage, may_have_run);
        Answer { verdict, refusal: None, message: None, snapshot: Some(snapshot), coverage, hits }
    }

    /// Creates the answer to a request that was refused as a whole.
    pub fn not_run(refusal: Refusal) -> Answer {
        let message = Some(refusal.to_string());
        Answer { refusal: Some(refusal), message, ..Answer::empty(Verdict::NotRun) }
    }

    /// Creates the answer to a request that may have run, with unknown result.
    pub fn unknown() -> Answer {
        Answer::empty(Verdict::Unknown)
    }

    fn empty(verdict: Verdict) -> Answer {
        let coverage = Coverage { total: 0, answered: 0, missing: Vec::new() };
        Answer { verdict, refusal: None, message: None, snapshot: None, coverage, hits: Vec::new() }
    }
}

impl Verdict {
    fn new(coverage: &Coverage, may_have_run: bool) -> Verdict {
        match (coverage.is_complete(), coverage.answered, may_have_run) {
            (true, ..) => Verdict::Complete,
            (false, 1.., _) => Verdict::Partial,
            (false, 0, true) => Verdict::Unknown,
            (false, 0, false) => Verdict::NotRun,
        }
    }
}

/// The overall result of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Every shard answered.
    Complete,
    /// Some shards answered; the coverage says which did not.
    Partial,
    /// No server ran any part of the request.
    NotRun,
    /// No shard answered, and some server may have run a part of the request.
    Unknown,
}
