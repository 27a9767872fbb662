use std::net::SocketAddr;

use crate::name::Name;

/// A node that has lately reached a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Helper {
    /// The name of the node.
    pub name: Name,
    /// The address at which it takes requests of other nodes.
    pub address: SocketAddr,
    /// Whether it is in the data centre of this node.
    pub is_near: bool,
}
