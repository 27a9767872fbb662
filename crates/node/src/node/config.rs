use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use mimosabridge::{name::Name, place::Placement};

use super::Role;

/// The settings of a node, parsed from its options.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the node, unique in the fleet.
    pub name: Name,
    /// The data centre of the node.
    pub data_centre: Name,
    /// The roles of the node.
    pub roles: Vec<Role>,
    /// The address that an entry accepts callers at.
    pub http_listen: SocketAddr,
    /// The address that the node takes calls of other nodes at.
    pub rpc_listen: SocketAddr,
    /// The address that the node receives packets of other nodes at.
    pub peer_listen: SocketAddr,
    /// The address that serves metrics and state to operators; not served if not given.
    pub admin_listen: Option<SocketAddr>,
    /// The IP address that other nodes reach this one at, if not the one it listens on.
    pub advertise: Option<std::net::IpAddr>,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Packet addresses of other nodes, besides the platform's list.
    pub seeds: BTreeSet<SocketAddr>,
    /// How long a stopping node continues to serve while the balancer moves callers.
    pub drain: Duration,
    /// The OTLP URL of the collector of traces, if there is one.
    pub trace_endpoint: Option<String>,
    /// The fraction of requests that are traced, from 0 to 1.
    pub trace_ratio: f64,
    /// Which gates send requests to a server at the same time.
    pub placement: Placement,
    /// The number of threads that run tasks; one per core if not given.
    pub threads: Option<usize>,
}
