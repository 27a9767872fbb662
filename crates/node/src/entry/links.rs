use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use mimosabridge::name::Name;

use super::Link;
use crate::fleet::View;

/// The connections of an entry to the other nodes, one for each.
#[derive(Debug, Default)]
pub struct Links {
    links: Mutex<HashMap<Name, Arc<Link>>>,
}

impl Links {
    /// Creates an empty set of connections.
    pub fn new() -> Links {
        Links::default()
    }

    /// Returns the link to a node, if the node is known. The link to a node that has moved is
    /// replaced.
    pub fn get(&self, node: &Name, view: &View) -> Option<Arc<Link>> {
        let mut links = self.links.lock().expect("no holder of the lock panics");
        let Some(member) = view.nodes.get(node) else {
            return links.get(node).cloned();
        };
        if let Some(link) = links.get(node).filter(|it| it.address() == member.address) {
            return Some(link.clone());
        }
        let link = Arc::new(Link::new(node.clone(), member.address));
        links.insert(node.clone(), link.clone());
        Some(link)
    }

    /// Closes the links to nodes that are no longer known.
    pub fn retain(&self, view: &View) {
        let mut links = self.links.lock().expect("no holder of the lock panics");
        links.retain(|name, _| view.nodes.contains_key(name));
    }
}
