use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use mimosabridge::{balance, name::Name};

use crate::{feed::Source, wire::Headers};

/// The settings with which a node starts.
pub struct Settings {
    /// The name of the node, unique in the fleet.
    pub name: Name,
    /// The data centre of the node.
    pub data_centre: Name,
    /// The address on which callers connect.
    pub front: SocketAddr,
    /// The address of the readiness check of the load balancer; its path is `ready_path`.
    pub ready: SocketAddr,
    /// The address on which metrics are served, if any.
    pub metrics: Option<SocketAddr>,
    /// The address on which the node receives packets of other nodes, over UDP, and requests that
    /// they relay, over TCP.
    pub peer: SocketAddr,
    /// The address on which the node serves calls of other nodes.
    pub rpc: SocketAddr,
    /// Addresses on which other nodes may receive packets.
    pub seeds: BTreeSet<SocketAddr>,
    /// How long the process may continue to run after the signal to stop.
    pub grace: Duration,
    /// How requests are balanced over servers.
    pub balance: balance::Settings,
    /// The names of headers.
    pub headers: Headers,
    /// The path of the readiness check of the load balancer.
    pub ready_path: &'static str,
    /// The source of published items.
    pub source: Source,
    /// Reads the settings again. Called on the signal that they may have changed, and when a planned
    /// stop begins, since they may change without a signal.
    pub reload: Box<dyn Fn() -> Reload>,
}

/// The result of reading the settings again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reload {
    /// How long the process may continue to run after the signal to stop, unless the settings can't be
    /// used.
    pub grace: Option<Duration>,
    /// What is to be logged.
    pub message: String,
}
