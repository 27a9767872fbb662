use crate::{
    name::Name,
    outcome::{Hint, Outcome},
};

/// What the driver of a gate must do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the task to its server. Given at most once for each task.
    Send(u64),
    /// Tell the entry what became of the task. Given exactly once for each task.
    Finish(u64, Outcome, Hint),
    /// Tell the server that the task, which was sent, is of no more use.
    Cancel(u64),
    /// Close the connection that carries the task: it has gone silent.
    Close(u64),
    /// Ask the server for its health, over a new connection.
    Probe(Name),
    /// Close the idle connections to the server: others like them have gone silent.
    Renew(Name),
}
