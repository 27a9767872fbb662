use crate::balance::Observation;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The server answered with success, and the answer is complete and valid.
    Served,
    /// The server answered with an error after it had started to run the request.
    Failed,
    /// The server reported that it did not run the request, for lack of capacity or of time.
    Shed,
    /// The server did not run the request, and wants none for some time.
    Resting,
    /// Another server now has the address; it did not run the request.
    Misdirected,
    /// No connection could be opened; nothing was sent.
    Unsent,
    /// The connection broke after the request may have been sent.
    Broken,
    /// The response is not a valid answer to this request.
    Invalid,
    /// No answer arrived in time.
    Silent,
}

impl End {
    /// Returns what the end shows about the server.
    pub(super) fn observation(self) -> Observation {
        match self {
            End::Served => Observation::Served,
            End::Shed => Observation::Shed,
            End::Resting => Observation::Resting,
            End::Failed | End::Broken | End::Invalid => Observation::Failed,
            End::Misdirected | End::Unsent => Observation::Unreachable,
            End::Silent => Observation::Silent,
        }
    }

    /// Returns whether the request provably did not run in this attempt.
    pub fn is_not_run(self) -> bool {
        matches!(self, End::Shed | End::Resting | End::Misdirected | End::Unsent)
    }
}
