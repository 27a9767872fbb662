use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use mimosabridge::name::Name;

use super::Link;
use crate::fleet::View;

/// The connections of an entry to the gates, one for each gate.
#[derive(Debug, Default)]
pub struct Links {
    links: Mutex<HashMap<Name, Arc<Link>>>,
}

impl Links {
    /// Creates links to no gate.
    pub fn new() -> Links {
        Links::default()
    }

    /// Returns the link to a gate, if the gate is known.
    pub fn get(&self, gate: &Name, view: &View) -> Option<Arc<Link>> {
        let mut links = self.links.lock().expect("no holder of the lock panics");
        let Some(member) = view.gates.get(gate) else {
            return links.get(gate).cloned();
        };
        if let Some(link) = links.get(gate).filter(|it| it.address() == member.address) {
            return Some(link.clone());
        }
        let link = Arc::new(Link::new(gate.clone(), member.address));
        links.insert(gate.clone(), link.clone());
        Some(link)
    }

    /// Closes the links to gates that are no longer known.
    pub fn retain(&self, view: &View) {
        let mut links = self.links.lock().expect("no holder of the lock panics");
        links.retain(|name, _| view.gates.contains_key(name));
    }
}
