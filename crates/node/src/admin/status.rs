use std::collections::BTreeMap;

use mimosabridge::{
    config::Stamp,
    name::Name,
    outcome::{Hint, Trust},
};
use serde::{Deserialize, Serialize};

use crate::fleet::View;

/// The state of a node, as `GET /status` returns it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// The name of the node.
    pub name: Name,
    /// The configuration in force.
    pub config: Option<Stamp>,
    /// Whether the node has lost contact with the rest of the system.
    pub isolated: bool,
    /// The nodes that are not dead.
    pub nodes: Vec<Name>,
    /// The gates that take new work.
    pub gates: Vec<Name>,
    /// The backend servers that are known to be leaving.
    pub leaving: Vec<Name>,
    /// The number of servers of the gate at each trust level.
    pub trust: BTreeMap<Trust, usize>,
    /// The servers that the gate has used, with what it knows about each.
    pub servers: BTreeMap<Name, Hint>,
}

/// Returns the state of a node.
pub fn status(name: &Name, view: &View, isolated: bool, servers: Vec<(Name, Hint)>) -> Status {
    let mut trust = BTreeMap::new();
    for (_, hint) in &servers {
        *trust.entry(hint.trust).or_default() += 1;
    }
    let mut leaving: Vec<_> = view.leaving.iter().cloned().collect();
    leaving.sort();
    Status {
        name: name.clone(),
        config: view.config.as_ref().map(|it| it.stamp),
        isolated,
        nodes: view.nodes.keys().cloned().collect(),
        gates: view.gates.keys().cloned().collect(),
        leaving,
        trust,
        servers: servers.into_iter().collect(),
    }
}
