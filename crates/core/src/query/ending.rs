use super::Coverage;
use crate::{name::Name, outcome::Reply};

/// How a query ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// The shards have answered, or no further attempt is made at those that have not.
    Settled {
        /// The names and the replies of the shards that answered.
        replies: Vec<(Name, Reply)>,
        /// How much of the snapshot the replies cover.
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
