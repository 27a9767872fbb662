use super::{Attempt, Ending};

/// What the driver of a query must do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an attempt to its gate.
    Send(Attempt),
    /// Tell the gate that an attempt is of no more use.
    Cancel(u32),
    /// The query is over.
    End(Ending),
}
