use std::sync::Arc;

use crate::query::Answer;

/// How the home of a ticket handles a request with the ticket.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Run the request: it is the first one with the ticket.
    Run,
    /// Wait for the answer: the request is already running.
    Running,
    /// Return the answer: the request has already been run.
    Done(Arc<Answer>),
    /// Refuse the request: the ticket was used for another one.
    OtherRequest,
    /// Refuse the request: it has not been run, and its home runs no more.
    Closed,
    /// It is unknown whether the request was run: the ticket has expired or was issued by another
    /// instance of the process.
    Unknown,
}
