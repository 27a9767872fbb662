/// What a node does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Takes callers.
    Entry,
    /// Reaches backend servers.
    Gate,
}
