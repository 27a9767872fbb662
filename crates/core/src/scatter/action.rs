use super::{Attempt, Verdict};

/// What the driver of a run must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server.
    Send(Attempt),
    /// Give the caller its final answer. Attempts that are under way are of no more use.
    Finish(Verdict),
}
