use super::Route;
use crate::{name::Name, time::Time};

/// One try at one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The number of the attempt within its query.
    pub id: u32,
    /// The shard.
    pub shard: Name,
    /// Where the attempt goes.
    pub route: Route,
    /// When the answer is of no more use.
    pub deadline: Time,
}
