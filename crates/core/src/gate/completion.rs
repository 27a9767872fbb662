use super::Report;
use crate::outcome::Outcome;

/// The result of a task that was sent to its server, as the driver observed it.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The outcome of the task.
    pub outcome: Outcome,
    /// The status that the server included in its reply, if it replied.
    pub report: Option<Report>,
}
