use std::net::SocketAddr;

use mimosabridge::name::Name;

use super::Role;
use crate::fleet::Member;

/// The settings of a node, parsed once.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the node, unique in the fleet.
    pub name: Name,
    /// The data centre that the node stands in.
    pub data_centre: Name,
    /// What the node does.
    pub roles: Vec<Role>,
    /// Where an entry takes callers.
    pub http_listen: SocketAddr,
    /// Where a gate takes calls of entries.
    pub rpc_listen: SocketAddr,
    /// Where the platform answers.
    pub platform: SocketAddr,
    /// The gates of the fleet.
    pub gates: Vec<(Name, Member)>,
    /// Threads that run tasks; as many as cores if not given.
    pub threads: Option<usize>,
}
