use std::collections::{HashMap, HashSet};

use super::Balancer;
use crate::{directory::Entry, name::Name};

impl Balancer {
    /// Sets the data centres whose servers must get no requests.
    pub fn set_closed(&mut self, closed: HashSet<Name>) {
        self.closed = closed;
    }

    /// Returns the data centres whose servers must get no requests.
    pub fn closed(&self) -> &HashSet<Name> {
        &self.closed
    }

    /// Sets the servers that must get no requests although their entries allow it, with the start
    /// that this holds for.
    pub fn set_retired(&mut self, retired: HashMap<Name, u64>) {
        self.retired = retired;
    }

    /// Returns whether requests may be sent to a server.
    pub fn is_usable(&self, id: &Name) -> bool {
        self.directory.get(id).is_some_and(|it| self.may_receive(it))
    }

    /// Returns whether the server with an entry may get requests.
    pub(super) fn may_receive(&self, entry: &Entry) -> bool {
        let is_retired = self.retired.get(&entry.id) == Some(&entry.born);
        !entry.is_draining && !is_retired && !self.closed.contains(&entry.data_centre)
    }
}
