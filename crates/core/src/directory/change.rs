use crate::name::Name;

/// A change of what is believed of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A server is known that was not.
    Added(Name),
    /// A server has another address, service or life under the same identity.
    Restarted(Name),
    /// A server has announced that it stops.
    Draining(Name),
    /// The entry of a server is gone while the store could not be trusted to hold it.
    Lapsed(Name),
    /// The entry of a lapsed server is back.
    Returned(Name),
    /// A server is gone.
    Removed(Name),
}
