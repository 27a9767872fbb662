use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::{Change, Entry, removed::Removed};
use crate::{name::Name, time::Time};

/// How long a lapsed entry may take to reappear once the store is available again. The platform
/// promises about two seconds; the rest allows for delivery to this node.
const RESTORE_GRACE: Duration = Duration::from_millis(2_300);

/// The entries of all known backend servers, indexed by identity and by service.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: HashMap<Name, Arc<Entry>>,
    services: HashMap<Name, Vec<Name>>,
    /// Servers whose entries lapsed and may still reappear.
    lapsed: HashSet<Name>,
    removed: Removed,
    /// Since when the store has been unavailable.
    unavailable_since: Option<Time>,
    /// When the store last recovered.
    available_since: Option<Time>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Directory {
        Directory::default()
    }

    /// Returns the entry of a server.
    pub fn get(&self, id: &Name) -> Option<&Arc<Entry>> {
        self.entries.get(id)
    }

    /// Returns the entries of the servers of a service.
    pub fn by_service(&self, service: &Name) -> impl Iterator<Item = &Arc<Entry>> {
        let ids = self.services.get(service).map_or(&[][..], |it| it);
        ids.iter().filter_map(|it| self.entries.get(it))
    }

    /// Returns the entries of all servers.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values()
    }

    /// Returns the servers whose entries lapsed.
    pub fn lapsed(&self) -> impl Iterator<Item = &Name> {
        self.lapsed.iter()
    }

    /// Returns the servers that must not be used, whatever an older copy of the store says: those
    /// that have announced their stop, and those whose entries were removed. Each comes with its
    /// start.
    pub fn retired(&self) -> impl Iterator<Item = (&Name, u64)> {
        let draining = self.entries.values().filter(|it| it.is_draining);
        draining.map(|it| (&it.id, it.born)).chain(self.removed.iter())
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the store is unavailable.
    pub fn is_store_unavailable(&self) -> bool {
        self.unavailable_since.is_some()
    }

    /// Records that neither this node nor the peer that it follows can read the store.
    pub fn on_store_unavailable(&mut self, now: Time) {
        self.unavailable_since.get_or_insert(now);
    }

    /// Records that the store answered a peer at `contact`. That shows nothing if this node lost
    /// the store later.
    pub fn on_peer_contact(&mut self, contact: Time, now: Time) {
        if self.unavailable_since.is_some_and(|it| contact > it) {
            self.on_store_available(now);
        }
    }

    /// Records that the store answers.
    pub fn on_store_available(&mut self, now: Time) {
        if self.unavailable_since.take().is_some() {
            self.available_since = Some(now);
        }
    }

    /// Records that the store came back from an older copy. Entries that the copy lacks get time to
    /// reappear.
    pub fn on_store_restored(&mut self, now: Time) {
        self.unavailable_since = None;
        self.available_since = Some(now);
    }

    /// Replaces all entries with the full list of the store. Returns the changes.
    pub fn replace(&mut self, entries: Vec<Entry>, now: Time) -> Vec<Change> {
        self.apply_list(entries, |directory, id| directory.on_removed(id, now))
    }

    /// Replaces all entries with those of a peer. Entries that are missing from the list are
    /// removed at once: the peer has already decided which of them lapsed. Returns the changes.
    pub fn replace_from_peer(&mut self, entries: Vec<Entry>) -> Vec<Change> {
        self.apply_list(entries, Directory::remove)
    }

    /// Inserts or updates an entry. Returns the change, if there is any.
    pub fn set(&mut self, entry: Entry) -> Option<Change> {
        let id = entry.id.clone();
        let was_lapsed = self.lapsed.remove(&id);
        self.removed.remove(&id);
        let old = self.entries.insert(id.clone(), Arc::new(entry));
        let new = &self.entries[&id];
        let change = match &old {
            None => Some(Change::Added(id.clone())),
            Some(old) if !old.is_same_instance(new) => Some(Change::Restarted(id.clone())),
            Some(old) if new.is_draining && !old.is_draining => Some(Change::Draining(id.clone())),
            Some(_) if was_lapsed => Some(Change::Returned(id.clone())),
            Some(_) => None,
        };
        if old.as_ref().is_none_or(|it| it.service != new.service) {
            let service = new.service.clone();
            if let Some(old) = &old {
                self.remove_from_service(&old.service, &id);
            }
            self.services.entry(service).or_default().push(id);
        }
        change
    }

    /// Handles the removal of an entry from the store. A server that did not announce its stop is
    /// kept for a while if the store is unavailable or has just recovered.
    pub fn on_removed(&mut self, id: &Name, now: Time) -> Option<Change> {
        if self.is_lapse(id, now) { self.lapse(id, now) } else { self.remove(id) }
    }

    /// Returns whether the removal of an entry does not prove that its server is gone.
    pub fn is_lapse(&self, id: &Name, now: Time) -> bool {
        self.is_store_unreliable(now) && self.entries.get(id).is_some_and(|it| !it.is_draining)
    }

    /// Marks an entry as lapsed. Its server is kept until the entry has had time to reappear.
    pub fn lapse(&mut self, id: &Name, now: Time) -> Option<Change> {
        if !self.entries.contains_key(id) {
            return None;
        }
        if !self.is_store_unreliable(now) {
            // The peer that reported the lapse saw the store recover just before.
            self.available_since = Some(now);
        }
        self.lapsed.insert(id.clone()).then(|| Change::Lapsed(id.clone()))
    }

    /// Removes a server that is known to be gone.
    pub fn remove(&mut self, id: &Name) -> Option<Change> {
        self.entries.contains_key(id).then(|| self.discard(id.clone()))
    }

    /// Removes the lapsed servers whose entries did not reappear in time.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        if self.lapsed.is_empty() || self.is_store_unreliable(now) {
            return Vec::new();
        }
        let gone: Vec<_> = self.lapsed.drain().collect();
        gone.into_iter().map(|it| self.discard(it)).collect()
    }

    fn apply_list(
        &mut self,
        entries: Vec<Entry>,
        on_missing: impl Fn(&mut Directory, &Name) -> Option<Change>,
    ) -> Vec<Change> {
        let listed: HashSet<_> = entries.iter().map(|it| &it.id).collect();
        let missing = self.entries.keys().filter(|it| !listed.contains(it));
        let missing: Vec<_> = missing.cloned().collect();
        let mut changes: Vec<_> = missing.iter().filter_map(|it| on_missing(self, it)).collect();
        changes.extend(entries.into_iter().filter_map(|it| self.set(it)));
        changes
    }

    /// Returns whether the store is unavailable or has just recovered.
    fn is_store_unreliable(&self, now: Time) -> bool {
        self.is_store_unavailable()
            || self.available_since.is_some_and(|it| now.since(it) < RESTORE_GRACE)
    }

    fn discard(&mut self, id: Name) -> Change {
        self.lapsed.remove(&id);
        if let Some(entry) = self.entries.remove(&id) {
            self.removed.insert(id.clone(), entry.born);
            self.remove_from_service(&entry.service, &id);
        }
        Change::Removed(id)
    }

    fn remove_from_service(&mut self, service: &Name, id: &Name) {
        let Some(ids) = self.services.get_mut(service) else { return };
        ids.retain(|it| it != id);
        if ids.is_empty() {
            self.services.remove(service);
        }
    }
}
