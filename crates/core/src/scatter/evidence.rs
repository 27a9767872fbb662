use std::time::Duration;

use super::{End, Failure, Refusal, Verdict};

/// What is known about the attempts of a request that has no successful answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Whether an attempt is still under way and may have reached its server.
    pub is_under_way: bool,
    /// Whether an attempt ended without proof that the server did not run the request.
    pub may_have_run: bool,
    /// The attempt whose error response can be passed on, for a request that one server answers.
    pub failure: Option<usize>,
}

impl Evidence {
    /// Records how an attempt ended.
    pub fn add(&mut self, end: End) {
        self.may_have_run |= !end.is_not_run();
    }
}

/// Returns the final answer to a request that has no successful answer. This is the only function
/// that decides it.
///
/// The request is refused only if it provably did not run. `is_late` says that the time for the
/// final answer is up.
pub fn unserved_verdict(evidence: Evidence, is_late: bool, retry_after: Duration) -> Verdict {
    if let Some(number) = evidence.failure.filter(|_| !evidence.is_under_way) {
        return Verdict::Pass(number);
    }
    if !evidence.is_under_way && !evidence.may_have_run {
        return Verdict::Refuse(Refusal { retry_after });
    }
    Verdict::Fail(if is_late { Failure::TimedOut } else { Failure::Broken })
}
