use std::{sync::Arc, time::Duration};

use crate::{directory::Entry, time::Time};

/// One send of a request to one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The number of the attempt, unique within its run.
    pub number: usize,
    /// The index of the shard within the run.
    pub shard: usize,
    /// The server that the request is sent to.
    pub server: Arc<Entry>,
    /// When the run decided to make the attempt.
    pub sent: Time,
    /// How long the server has to answer, from `sent` until the final answer is due.
    pub budget: Duration,
    /// Whether the attempt is a hedge: another attempt at the shard is under way.
    pub is_hedge: bool,
}
