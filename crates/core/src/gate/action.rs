use crate::{
    name::Name,
    outcome::{Hint, Outcome},
};

/// An action that the driver of a gate must perform.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the task to its server. Returned at most once for each task.
    Send(u64),
    /// Report the outcome of the task to the entry. Returned exactly once for each task.
    Finish(u64, Outcome, Hint),
    /// Tell the server that the result of a task that was sent is no longer needed.
    Cancel(u64),
    /// Close the connection that carries the task, because it has stopped responding.
    Close(u64),
    /// Ask the server for its health, over a new connection.
    Probe(Name),
    /// Close the idle connections to the server, because others have stopped responding.
    CloseIdle(Name),
}
