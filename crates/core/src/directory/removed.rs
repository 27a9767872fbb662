use std::collections::{HashMap, VecDeque};

use super::Edition;
use crate::name::Name;

/// The most removed servers that are remembered: more than a data centre has.
const MAX_REMOVED: usize = 4_096;

/// The servers whose entries were removed last, with the editions of these.
#[derive(Clone, Debug, Default)]
pub(super) struct Removed {
    editions: HashMap<Name, Edition>,
    order: VecDeque<Name>,
}

impl Removed {
    /// Records that the entry of a server was removed.
    pub fn insert(&mut self, id: Name, edition: Edition) {
        if self.editions.insert(id.clone(), edition).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_REMOVED {
            let Some(oldest) = self.order.pop_front() else { break };
            self.editions.remove(&oldest);
        }
    }

    /// Records that a server has an entry again.
    pub fn remove(&mut self, id: &Name) {
        if self.editions.remove(id).is_some() {
            self.order.retain(|it| it != id);
        }
    }

    /// Returns the edition of the entry of a server that was removed.
    pub fn get(&self, id: &Name) -> Option<Edition> {
        self.editions.get(id).copied()
    }

    /// Returns the servers that were removed last, with their editions.
    pub fn latest(&self, count: usize) -> impl Iterator<Item = (Name, Edition)> {
        let latest = self.order.iter().rev().take(count);
        latest.filter_map(|id| Some((id.clone(), self.get(id)?)))
    }

    /// Returns the servers with their start.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.editions.iter().map(|(id, it)| (id, it.born))
    }
}
