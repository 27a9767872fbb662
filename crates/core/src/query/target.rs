use crate::name::Name;

/// A shard that a query must reach, with the routes to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The shard.
    pub shard: Name,
    /// The routes to the shard, best first.
    pub routes: Vec<Route>,
}

/// A route to a shard: a server that holds it and a gate to that server.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Route {
    /// The server.
    pub server: Name,
    /// The gate that sends the request to the server.
    pub gate: Name,
}
