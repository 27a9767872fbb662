use super::Coverage;
use crate::{name::Name, outcome::Reply};

/// How a query came to its end.
#[derive(Clone, Debug)]
pub enum Ending {
    /// The replies of the shards that answered, and what is missing.
    Settled {
        /// One reply per shard that answered.
        replies: Vec<(Name, Reply)>,
        /// How much of the snapshot is covered.
        coverage: Coverage,
        /// Whether some server may have run a part of the request.
        may_have_run: bool,
    },
    /// Too few servers still hold the snapshot: plan again on this newer version.
    Restart {
        /// The newest version that the refusing servers hold.
        version: u64,
    },
    /// Servers crashed while running the request: its content must be quarantined.
    Quarantine {
        /// The servers that crashed.
        servers: Vec<Name>,
    },
}
