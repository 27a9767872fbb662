use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::{Change, Edition, Entry, Uptime, held::Held, removed::Removed, uptime::Record};
use crate::{name::Name, time::Time};

/// How often servers write their entries, unless said otherwise.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(1_200);

/// The most removed entries that a node is told of.
const MAX_TOLD_REMOVED: usize = 256;

/// The entries of all known backend servers, indexed by identity and by service.
#[derive(Clone, Debug)]
pub struct Directory {
    entries: HashMap<Name, Arc<Entry>>,
    services: HashMap<Name, Vec<Name>>,
    /// Servers whose entries lapsed and may still reappear.
    lapsed: HashSet<Name>,
    removed: Removed,
    held: Held,
    /// Since when this node, and the one that it follows, can't read the store.
    failing_since: Option<Time>,
    /// When the store was available, to this node or others.
    record: Record,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Directory {
        Directory {
            entries: HashMap::new(),
            services: HashMap::new(),
            lapsed: HashSet::new(),
            removed: Removed::default(),
            held: Held::new(WRITE_INTERVAL),
            failing_since: None,
            record: Record::new(WRITE_INTERVAL),
        }
    }

    /// Sets how often servers write their entries.
    pub fn with_write_interval(self, interval: Duration) -> Directory {
        Directory { held: Held::new(interval), record: Record::new(interval), ..self }
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

    /// Returns the entries that were written before the known ones of their servers, and are held back.
    pub fn held(&self) -> impl Iterator<Item = &Entry> {
        self.held.iter()
    }

    /// Returns for how long a server would stay cold by an entry that is held back.
    pub fn held_cold(&self, id: &Name) -> Option<Duration> {
        let known = self.entries.get(id).map(|it| it.born);
        self.held.get(id).filter(|it| Some(it.born) != known).map(|it| it.cold)
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

    /// Returns whether neither this node nor the peer that it follows can read the store.
    pub fn is_store_unavailable(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns the latest span in which the store is known to have been available.
    pub fn uptime(&self) -> Option<Uptime> {
        self.record.uptime()
    }

    /// Records that neither this node nor the peer that it follows can read the store.
    pub fn on_store_unavailable(&mut self, now: Time) {
        self.failing_since.get_or_insert(now);
        self.record.on_failure(now);
    }

    /// Records that the store answered a read of this node that was sent at `sent`.
    pub fn on_store_available(&mut self, sent: Time, now: Time) {
        self.failing_since = None;
        self.record.add(Uptime { since: sent, until: now });
    }

    /// Records that the store closed the connection of a read that was sent at `sent` and waited for a change.
    pub fn on_watch_cut(&mut self, sent: Time, now: Time) {
        self.record.extend(Uptime { since: sent, until: now });
    }

    /// Records that the peer that this node follows can read the store. A peer of an earlier build does
    /// not state its uptime (`states_uptime`); it was available unless the peer has said otherwise.
    pub fn on_upstream_available(&mut self, states_uptime: bool, now: Time) {
        let was_failing = self.failing_since.take().is_some();
        if states_uptime {
            return;
        }
        let known = self.uptime().filter(|_| !was_failing);
        self.record.add(Uptime { since: known.map_or(now, |it| it.until), until: now });
    }

    /// Records that the store answered a peer at `contact`. That shows nothing if this node lost
    /// the store later.
    pub fn on_peer_contact(&mut self, contact: Time) {
        self.failing_since.take_if(|it| contact > *it);
    }

    /// Records when the store was available to a peer.
    pub fn on_peer_uptime(&mut self, uptime: Uptime) {
        self.record.add(uptime);
    }

    /// Records that the store came back from an older copy. Entries that the copy lacks get time to
    /// reappear.
    pub fn on_store_restored(&mut self, now: Time) {
        self.failing_since = None;
        self.record.on_restored(now);
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

    /// Returns the entries that were removed last, for nodes that don't know them.
    pub fn removed(&self) -> impl Iterator<Item = (Name, Edition)> {
        self.removed.latest(MAX_TOLD_REMOVED)
    }

    /// Records that another node has seen the entry of a server removed, which this one may not know.
    pub fn note_removed(&mut self, id: Name, edition: Edition) {
        let is_known = self.entries.contains_key(&id) || self.removed.get(&id).is_some();
        if !is_known {
            self.removed.insert(id, edition);
        }
    }

    /// Inserts or updates an entry. One that its server wrote before the known one is held back. Returns the
    /// change, if there is any.
    pub fn set(&mut self, entry: Entry) -> Option<Change> {
        let current = self.entries.get(&entry.id).map(|it| it.edition());
        let known = current.or_else(|| self.removed.get(&entry.id));
        let edition = entry.edition();
        let Some(known) = known.filter(|it| edition.is_before(it)) else {
            self.held.remove(&entry.id);
            return self.insert(entry);
        };
        if entry.is_draining && current.is_some_and(|it| it.born == entry.born) {
            // A process that stops does not become ready again.
            return self.insert(Entry { sequence: known.sequence, ..entry });
        }
        let id = entry.id.clone();
        self.held.insert(entry).then_some(Change::Held { id, edition, known })
    }

    fn insert(&mut self, entry: Entry) -> Option<Change> {
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
            Some(_) if !new.cold.is_zero() => Some(Change::Cold(id.clone())),
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
    /// kept for a while if the store was unavailable until just before.
    pub fn on_removed(&mut self, id: &Name, now: Time) -> Option<Change> {
        if self.is_lapse(id, now) { self.lapse(id, now) } else { self.remove(id) }
    }

    /// Returns whether the removal of an entry does not prove that its server is gone.
    pub fn is_lapse(&self, id: &Name, now: Time) -> bool {
        let may_lapse = self.is_store_unavailable() || !self.is_settled(now);
        may_lapse && self.entries.get(id).is_some_and(|it| !it.is_draining)
    }

    /// Returns whether this node knows that the store had no outage lately, so that a removal that a
    /// peer takes for a lapse is none.
    pub fn disproves_lapse(&self, now: Time) -> bool {
        self.is_settled(now) && self.record.is_recent(self.failing_since, now)
    }

    /// Marks an entry as lapsed. Its server is kept until the entry has had time to reappear.
    pub fn lapse(&mut self, id: &Name, now: Time) -> Option<Change> {
        self.held.remove(id);
        if !self.entries.contains_key(id) {
            return None;
        }
        if self.is_settled(now) {
            // The peer that reported the lapse saw the store recover just before.
            self.record.on_outage_end(now);
        }
        self.lapsed.insert(id.clone()).then(|| Change::Lapsed(id.clone()))
    }

    /// Removes a server that is known to be gone.
    pub fn remove(&mut self, id: &Name) -> Option<Change> {
        self.held.remove(id);
        self.entries.contains_key(id).then(|| self.discard(id.clone()))
    }

    /// Removes the lapsed servers whose entries did not reappear in time, and uses the entries that were held back
    /// and still stand. Returns the changes.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        let mut changes = self.remove_lapsed(now);
        if self.is_store_unavailable() {
            self.held.restart();
        }
        let due = self.held.take_due(now);
        changes.extend(due.into_iter().filter_map(|it| self.insert(it)));
        changes
    }

    fn remove_lapsed(&mut self, now: Time) -> Vec<Change> {
        if self.lapsed.is_empty() || !self.is_settled(now) {
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
        let held = self.held.take();
        let mut changes: Vec<_> = missing.iter().filter_map(|it| on_missing(self, it)).collect();
        changes.extend(entries.into_iter().filter_map(|it| self.set_listed(it)));
        self.held.resume(&held);
        changes
    }

    /// Inserts or updates an entry of a list, unless that repeats the known one.
    fn set_listed(&mut self, entry: Entry) -> Option<Change> {
        let is_known = self.entries.get(&entry.id).is_some_and(|it| **it == entry);
        if is_known && !self.lapsed.contains(&entry.id) { None } else { self.set(entry) }
    }

    /// Returns whether lapsed entries have had time to reappear.
    fn is_settled(&self, now: Time) -> bool {
        self.record.is_settled(self.failing_since, now)
    }

    fn discard(&mut self, id: Name) -> Change {
        self.lapsed.remove(&id);
        if let Some(entry) = self.entries.remove(&id) {
            self.removed.insert(id.clone(), entry.edition());
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

impl Default for Directory {
    fn default() -> Directory {
        Directory::new()
    }
}
