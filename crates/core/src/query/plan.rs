use std::time::Duration;

use super::Target;
use crate::{name::Name, time::Time};

/// The shards that a query must reach, and the limits that apply.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The pinned version of the index.
    pub snapshot: u64,
    /// The shards in the partition map of the snapshot that the rule covers.
    pub targets: Vec<Target>,
    /// When the answer is due at the latest.
    pub deadline: Time,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// How long to wait for the reply of a shard before another server is asked.
    pub hedge_after: Duration,
    /// The number of shards to ask before the others, to find out whether the content crashes
    /// servers; zero to ask all at once.
    pub canaries: usize,
    /// Servers that crashed earlier while they ran the same content.
    pub crashed: Vec<Name>,
    /// Whether the query may end with [`super::Ending::Restart`].
    pub may_restart: bool,
}
