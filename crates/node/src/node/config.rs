use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use mimosabridge::{name::Name, place::Placement};

use super::Role;

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
    /// Where the node takes calls of other nodes.
    pub rpc_listen: SocketAddr,
    /// Where the node takes packets of other nodes.
    pub peer_listen: SocketAddr,
    /// Where operators read metrics and state; nowhere if not given.
    pub admin_listen: Option<SocketAddr>,
    /// Where other nodes reach this one, if not at the addresses it listens on.
    pub advertise: Option<std::net::IpAddr>,
    /// Where the platform answers.
    pub platform: SocketAddr,
    /// Where other nodes may be found, besides the platform's list.
    pub seeds: BTreeSet<SocketAddr>,
    /// How long a planned stop keeps serving while the balancer moves callers.
    pub drain: Duration,
    /// The OTLP URL of the collector of traces, if there is one.
    pub trace_endpoint: Option<String>,
    /// The part of the requests that are traced, from 0 to 1.
    pub trace_ratio: f64,
    /// Which gates reach a server at once.
    pub placement: Placement,
    /// Threads that run tasks; as many as cores if not given.
    pub threads: Option<usize>,
}
