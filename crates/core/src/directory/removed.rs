use std::collections::{HashMap, VecDeque};

use crate::name::Name;

/// The most removed servers that are remembered: more than a data centre has.
const MAX_REMOVED: usize = 4_096;

/// The servers whose entries were removed last, with their start.
#[derive(Clone, Debug, Default)]
pub(super) struct Removed {
    born: HashMap<Name, u64>,
    order: VecDeque<Name>,
}

impl Removed {
    /// Records that the entry of a server was removed.
    pub fn insert(&mut self, id: Name, born: u64) {
        if self.born.insert(id.clone(), born).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_REMOVED {
            let Some(oldest) = self.order.pop_front() else { break };
            self.born.remove(&oldest);
        }
    }

    /// Records that a server has an entry again.
    pub fn remove(&mut self, id: &Name) {
        if self.born.remove(id).is_some() {
            self.order.retain(|it| it != id);
        }
    }

    /// Returns the servers with their start.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.born.iter().map(|(id, born)| (id, *born))
    }
}
