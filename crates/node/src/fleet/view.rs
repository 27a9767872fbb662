use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use mimosabridge::{
    config::{Bundle, Set},
    name::Name,
};

/// What a node knows about the fleet at one point in time.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force, if any.
    pub config: Option<Arc<Bundle>>,
    /// The content of that configuration, shared with the parts of the node.
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
    /// The data centre of the node.
    pub data_centre: Name,
    /// The address at which the node serves calls.
    pub address: SocketAddr,
}

impl View {
    /// Returns the data centre of each gate.
    pub fn gate_data_centres(&self) -> BTreeMap<Name, Name> {
        self.gates.iter().map(|(name, it)| (name.clone(), it.data_centre.clone())).collect()
    }
}
