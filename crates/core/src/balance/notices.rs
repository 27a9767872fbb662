use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use crate::{directory::Entry, name::Name, time::Time};

/// The most servers whose notices are remembered: more than a data centre has.
const MAX_NOTICES: usize = 4_096;

/// What servers say of themselves in their answers. It holds for one process instance of a server,
/// whatever the store or other nodes say of its entry.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    by_server: HashMap<Name, Notice>,
    order: VecDeque<Name>,
}

/// What one process instance of a server says.
#[derive(Clone, Debug)]
pub(super) struct Notice {
    entry: Arc<Entry>,
    /// When this node learned that the server leaves, if it does.
    pub leaves_since: Option<Time>,
    /// Until when the server wants no requests of this node, if it has said so.
    pub rests_until: Option<Time>,
}

impl Notices {
    /// Returns what a server has said, if anything.
    pub fn get(&self, entry: &Entry) -> Option<&Notice> {
        self.by_server.get(&entry.id).filter(|it| it.entry.is_same_instance(entry))
    }

    /// Returns the notice of a server for changes. Returns `None` for a predecessor of a server that
    /// has said something since.
    pub fn entry(&mut self, entry: &Arc<Entry>) -> Option<&mut Notice> {
        let known = self.by_server.get(&entry.id).map(|it| &it.entry);
        if known.is_some_and(|it| it.born > entry.born) {
            return None;
        }
        if known.is_none_or(|it| !it.is_same_instance(entry)) {
            self.remove(&entry.id);
            let notice = Notice { entry: entry.clone(), leaves_since: None, rests_until: None };
            self.by_server.insert(entry.id.clone(), notice);
            self.order.push_back(entry.id.clone());
        }
        while self.order.len() > MAX_NOTICES {
            let Some(oldest) = self.order.pop_front() else { break };
            self.by_server.remove(&oldest);
        }
        self.by_server.get_mut(&entry.id)
    }

    /// Records that the entry of a server was removed. Without a start time its successor could not be
    /// told from it.
    pub fn on_removed(&mut self, id: &Name) {
        if self.by_server.get(id).is_some_and(|it| it.entry.born == 0) {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: &Name) {
        if self.by_server.remove(id).is_some() {
            self.order.retain(|it| it != id);
        }
    }
}
