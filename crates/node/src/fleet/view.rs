use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use mimosabridge::{
    config::{Bundle, Set},
    name::Name,
};

/// What a node knows of the fleet at one time.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force, if any.
    pub config: Option<Arc<Bundle>>,
    /// The content of that configuration, shared with the decisions.
    pub set: Arc<Set>,
    /// The gates that take new work.
    pub gates: BTreeMap<Name, Member>,
    /// The nodes that are not dead.
    pub nodes: BTreeMap<Name, Member>,
    /// The backend servers that are known to be leaving.
    pub leaving: HashSet<Name>,
}

/// Another node, or this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The data centre that the node stands in.
    pub data_centre: Name,
    /// Where the node takes calls.
    pub address: SocketAddr,
}

impl View {
    /// Returns the data centre of each gate.
    pub fn gate_places(&self) -> BTreeMap<Name, Name> {
        self.gates.iter().map(|(name, it)| (name.clone(), it.data_centre.clone())).collect()
    }
}
