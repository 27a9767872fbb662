use std::{sync::Arc, time::Duration};

use crate::{directory::Entry, time::Time};

/// One send of a request to one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The number of the attempt, unique in its run.
    pub number: usize,
    /// The index of the shard.
    pub shard: usize,
    /// The server.
    pub server: Arc<Entry>,
    /// When the attempt was decided.
    pub sent: Time,
    /// How long an answer is of use.
    pub budget: Duration,
    /// Another attempt at the shard is under way.
    pub is_hedge: bool,
}
