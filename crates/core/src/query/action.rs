use super::{Attempt, Ending};

/// What the driver of a [`super::Run`] must do next.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an attempt to its gate.
    Send(Attempt),
    /// Cancel the attempt with this number at its gate.
    Cancel(u32),
    /// End the query.
    End(Ending),
}
