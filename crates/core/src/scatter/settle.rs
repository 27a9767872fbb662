use std::time::Duration;

use super::{End, Failure, Refusal, Verdict};

/// What is known of all attempts of a request that gets no success.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// An attempt is under way, and may have reached its server.
    pub is_under_way: bool,
    /// An attempt ended in a way that does not prove that the request did not run.
    pub may_have_run: bool,
    /// The attempt whose failure can be passed on, if the answer is that of one server.
    pub failure: Option<usize>,
}

impl Evidence {
    /// Takes the end of an attempt.
    pub fn add(&mut self, end: End) {
        self.may_have_run |= !end.is_not_run();
    }
}

/// Decides the final answer to a request that gets no success. This is the only place that does.
pub fn settle(evidence: Evidence, is_late: bool, retry_after: Duration) -> Verdict {
    if let Some(number) = evidence.failure.filter(|_| !evidence.is_under_way) {
        return Verdict::Pass(number);
    }
    if !evidence.is_under_way && !evidence.may_have_run {
        return Verdict::Refuse(Refusal { retry_after });
    }
    Verdict::Fail(if is_late { Failure::TimedOut } else { Failure::Broken })
}
