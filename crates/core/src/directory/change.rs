use super::Edition;
use crate::name::Name;

/// A change of the entry of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A new server appeared.
    Added(Name),
    /// A server has another address, service or start time under the same identity.
    Restarted(Name),
    /// A server announced that it will stop.
    Draining(Name),
    /// A server said again, in a new entry, that it is cold.
    Cold(Name),
    /// The entry of a server disappeared while the store was unavailable or had just recovered.
    Lapsed(Name),
    /// The lapsed entry of a server reappeared.
    Returned(Name),
    /// An entry that a server wrote before the known one is held back.
    Held {
        /// The server.
        id: Name,
        /// The edition of the entry.
        edition: Edition,
        /// The edition of the known entry, or of the removed one.
        known: Edition,
    },
    /// A server was removed.
    Removed(Name),
}
