use std::net::SocketAddr;

use super::{News, Packet};
use crate::feed::Progress;

/// What the caller that drives a [`super::Peer`] must do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a packet to an address.
    Send(SocketAddr, Box<Packet>),
    /// The roster has changed in a way that affects how nodes are used.
    Changed,
    /// Hand news to the other parts of this node. The address is where the sender takes calls.
    Deliver(News, SocketAddr),
    /// Another node knows other published facts than this node. The address is where it takes
    /// calls.
    Progress(Progress, SocketAddr),
    /// Exchange the differing parts of the rosters with the node that takes calls at the address.
    Sync(SocketAddr),
}
