use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Describes one node: its addresses, its roles and its state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The name of the node, unique in the fleet.
    pub name: Name,
    /// The data centre of the node.
    pub data_centre: Name,
    /// The roles of the node.
    pub roles: Roles,
    /// The address at which the node receives packets, and relayed requests if it sends requests
    /// straight to servers.
    pub peer: SocketAddr,
    /// The address at which the node takes calls.
    pub rpc: SocketAddr,
    /// The incarnation that the state belongs to.
    pub incarnation: Incarnation,
    /// The state of the node in that incarnation.
    pub state: State,
}

/// The roles of a node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Roles {
    /// Serves callers.
    pub entry: bool,
    /// Connects to backend servers.
    pub gate: bool,
}

/// Orders the states of a node over time: later incarnations compare greater.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation {
    /// Increases with each start of the process.
    pub boot: u64,
    /// Increases each time the process refutes that it is suspect or dead.
    pub refutation: u32,
}

/// The state of a node. A later state replaces an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// The node answers probes.
    Alive,
    /// The node did not answer a probe and has not refuted that yet.
    Suspect,
    /// The node has announced that it stops: it takes no new work and finishes what it runs.
    Leaving,
    /// The node has stopped or crashed.
    Dead,
}

impl Record {
    /// Returns the hash of the name.
    pub fn key(&self) -> u32 {
        self.name.key()
    }

    /// Returns whether this record is newer than `known`, which is about the same node.
    pub fn supersedes(&self, known: &Record) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }

    /// Returns whether other nodes use the node in the same way under either record.
    pub fn is_used_like(&self, other: &Record) -> bool {
        let use_of = |it: &Record| {
            (it.takes_work(), it.state == State::Dead, it.rpc, it.roles, it.data_centre.clone())
        };
        use_of(self) == use_of(other)
    }

    /// Returns whether the node takes new work.
    pub fn takes_work(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }
}
