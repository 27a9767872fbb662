use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use mimosabridge::{balance, name::Name};

use crate::{feed::Source, wire::Headers};

/// What a node is told at its start.
pub struct Settings {
    /// The name of the node, unique in the fleet.
    pub name: Name,
    /// The data centre of the node.
    pub data_centre: Name,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the balancer asks whether the node is ready, and the path that it asks for.
    pub ready: SocketAddr,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Where the node takes packets of other nodes.
    pub peer: SocketAddr,
    /// Where the node takes calls of other nodes.
    pub rpc: SocketAddr,
    /// Addresses where other nodes may take packets.
    pub seeds: BTreeSet<SocketAddr>,
    /// How long after the signal to stop the process may run.
    pub grace: Duration,
    /// How requests are spread over servers.
    pub balance: balance::Settings,
    /// What headers are called.
    pub headers: Headers,
    /// The path on which the balancer asks whether the node is ready.
    pub ready_path: &'static str,
    /// Where published items are read.
    pub source: Source,
    /// Called when the node is told that its settings may have changed; returns a sentence for
    /// the log.
    pub reload: Box<dyn Fn() -> String>,
}
