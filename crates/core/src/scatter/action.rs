use super::{Attempt, Verdict};

/// What the driver of a [`super::Run`] must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server.
    Send(Attempt),
    /// Give the caller its final answer. Attempts still under way are no longer needed.
    Finish(Verdict),
}
