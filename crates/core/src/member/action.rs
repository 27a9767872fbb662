use std::net::SocketAddr;

use super::{News, Packet};

/// What the driver of a peer must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a packet.
    Send(SocketAddr, Box<Packet>),
    /// The roster has changed: plan with the new one.
    Changed,
    /// News has arrived for other parts of the node, from a node that takes calls at the address.
    Tell(News, SocketAddr),
    /// Exchange the parts of the rosters that differ with the node that takes calls at the address.
    Sync(SocketAddr),
}
