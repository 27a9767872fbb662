use std::{collections::HashMap, time::Duration};

use super::Entry;
use crate::{name::Name, time::Time};

/// How many intervals in which servers write an older entry must stand before it counts. A server that runs replaces an
/// older entry of itself within one, and an entry that nobody writes is removed after three.
const HOLD_INTERVALS: u32 = 4;

/// Entries that were written before the known ones of their servers.
///
/// The store may apply a write seconds late. Only time tells it from the write of a server whose clock is behind its
/// last start.
#[derive(Clone, Debug)]
pub(super) struct Held {
    hold_time: Duration,
    entries: HashMap<Name, Item>,
}

#[derive(Clone, Debug)]
struct Item {
    entry: Entry,
    /// When the time began to count.
    since: Option<Time>,
}

impl Held {
    /// Holds nothing back, of servers that write their entries at an interval.
    pub fn new(write_interval: Duration) -> Held {
        Held { hold_time: write_interval * HOLD_INTERVALS, entries: HashMap::new() }
    }

    /// Holds an entry back. A further write of the same start doesn't begin the time anew. Returns whether the start
    /// is new.
    pub fn insert(&mut self, entry: Entry) -> bool {
        match self.entries.get_mut(&entry.id) {
            Some(item) if item.entry.born == entry.born => {
                item.entry = entry;
                false
            }
            _ => {
                self.entries.insert(entry.id.clone(), Item { entry, since: None });
                true
            }
        }
    }

    /// Returns the entry of a server, if one is held back.
    pub fn get(&self, id: &Name) -> Option<&Entry> {
        self.entries.get(id).map(|it| &it.entry)
    }

    /// Returns all entries.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|it| &it.entry)
    }

    /// Takes all entries.
    pub fn take(&mut self) -> Held {
        let entries = std::mem::take(&mut self.entries);
        Held { entries, ..*self }
    }

    /// Drops the entry of a server.
    pub fn remove(&mut self, id: &Name) {
        self.entries.remove(id);
    }

    /// Goes on with the times of `before`.
    pub fn resume(&mut self, before: &Held) {
        for (id, item) in &mut self.entries {
            let known = before.entries.get(id).filter(|it| it.entry.born == item.entry.born);
            item.since = item.since.or(known.and_then(|it| it.since));
        }
    }

    /// Begins the time of all entries anew, because later writes could not be seen.
    pub fn restart(&mut self) {
        self.entries.values_mut().for_each(|it| it.since = None);
    }

    /// Takes the entries that have stood for the time.
    pub fn take_due(&mut self, now: Time) -> Vec<Entry> {
        let hold_time = self.hold_time;
        let is_due = |_: &Name, it: &mut Item| now.since(*it.since.get_or_insert(now)) >= hold_time;
        self.entries.extract_if(is_due).map(|it| it.1.entry).collect()
    }
}
