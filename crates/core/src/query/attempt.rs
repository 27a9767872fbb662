use super::Route;
use crate::{name::Name, time::Time};

/// One attempt at one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The number of the attempt within its query.
    pub id: u32,
    /// The shard.
    pub shard: Name,
    /// The server and the gate that the attempt goes to.
    pub route: Route,
    /// Whether the attempt is made after a server has crashed with the content.
    pub is_repeat: bool,
    /// When the reply is due at the latest.
    pub deadline: Time,
}
