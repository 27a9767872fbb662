use crate::name::Name;

/// A shard that a query must reach, with the ways to reach it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The shard.
    pub shard: Name,
    /// The ways to reach the shard, best first.
    pub routes: Vec<Route>,
}

/// A way to reach a shard: a server that holds it and the gate to that server.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Route {
    /// The server.
    pub server: Name,
    /// The gate that the server's work goes through.
    pub gate: Name,
}
