use std::time::Duration;

use super::Target;
use crate::{name::Name, time::Time};

/// What a query must reach, and within which bounds.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The pinned version of the index.
    pub snapshot: u64,
    /// The shards to reach: the partition map of the snapshot, as far as the rule reaches.
    pub targets: Vec<Target>,
    /// When the answer is of no more use.
    pub deadline: Time,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// How long a shard may stay silent before it is asked again elsewhere.
    pub hedge_after: Duration,
    /// Shards to ask before the others, to learn whether the content crashes servers; zero to
    /// ask all at once.
    pub canaries: usize,
    /// Servers that crashed earlier while they ran the same content.
    pub crashed: Vec<Name>,
    /// Whether the query may end with [`super::Ending::Restart`].
    pub may_restart: bool,
}
