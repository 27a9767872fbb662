use std::sync::Arc;

use crate::query::Answer;

/// What the home of a ticket does when its request arrives.
#[derive(Clone, Debug)]
pub enum Begin {
    /// Run the request: it is the first to arrive with the ticket.
    Run,
    /// Wait: the request is running.
    Running,
    /// Give the answer of the run that is over.
    Done(Arc<Answer>),
    /// The ticket names another request. This one was not run.
    OtherRequest,
    /// Nobody knows whether the request was run: the ticket is of another life or has expired.
    Unknown,
}
