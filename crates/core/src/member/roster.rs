use std::{
    collections::{BTreeMap, HashMap},
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

use super::{Record, State};
use crate::{name::Name, time::Time};

/// The number of parts of the roster, each with its own digest.
const BUCKETS: usize = 64;

/// Holds the records of all known nodes, this one included.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    records: BTreeMap<Name, Entry>,
    keys: HashMap<u32, Name>,
    digest: u32,
}

/// The effect of merging a record into a roster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The record was not newer than the known one and was ignored.
    Stale,
    /// The record was merged and does not change how the node is used.
    Detail,
    /// The record was merged and changes how the node is used.
    Change,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    since: Time,
    /// Whether the node died without announcing that it leaves.
    lost: bool,
}

impl Roster {
    /// Creates an empty roster.
    pub fn new() -> Roster {
        Roster::default()
    }

    /// Returns all records in the order of their names.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(|it| &it.record)
    }

    /// Returns the record of the node with a name.
    pub fn get(&self, name: &Name) -> Option<&Record> {
        self.records.get(name).map(|it| &it.record)
    }

    /// Returns the record of the node whose name has the hash `key`.
    pub fn by_key(&self, key: u32) -> Option<&Record> {
        self.get(self.keys.get(&key)?)
    }

    /// Returns the record of the node that receives packets at an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<&Record> {
        self.records().find(|it| it.peer == address)
    }

    /// Returns the number of nodes that are not dead.
    pub fn live_count(&self) -> usize {
        self.records().filter(|it| it.state != State::Dead).count()
    }

    /// Returns the digest of each part of the roster.
    pub fn digests(&self) -> Vec<u32> {
        let mut digests = vec![0; BUCKETS];
        for record in self.records() {
            digests[bucket(&record.name)] ^= record_digest(record);
        }
        digests
    }

    /// Returns the records in the parts whose digests differ from those of another roster.
    pub fn differing(&self, others: &[u32]) -> Vec<Record> {
        let own = self.digests();
        let differs = |it: &&Record| {
            let bucket = bucket(&it.name);
            others.get(bucket) != Some(&own[bucket])
        };
        self.records().filter(differs).cloned().collect()
    }

    /// Returns whether the nodes that answer are no more than those that are suspect or died
    /// without announcing that they leave.
    pub fn is_minority(&self) -> bool {
        let suspect = self.records().filter(|it| it.state == State::Suspect).count();
        let lost = self.records.values().filter(|it| it.lost).count();
        self.live_count() - suspect <= lost + suspect
    }

    /// Returns the digest of the roster. It is equal on nodes that agree on which nodes are live.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Merges a record if it is newer than the known one.
    pub fn merge(&mut self, record: Record, now: Time) -> Effect {
        let known = self.records.get(&record.name);
        if known.is_some_and(|it| !record.supersedes(&it.record)) {
            return Effect::Stale;
        }
        if known.is_none() && record.state == State::Dead {
            return Effect::Stale;
        }
        let is_same = known.is_some_and(|it| it.record.is_used_like(&record));
        self.digest ^= record_digest(&record);
        self.keys.insert(record.key(), record.name.clone());
        let has_left = known.is_some_and(|it| it.record.state == State::Leaving);
        let lost = record.state == State::Dead && !has_left;
        let old = self.records.insert(record.name.clone(), Entry { record, since: now, lost });
        if let Some(old) = old {
            self.digest ^= record_digest(&old.record);
        }
        if is_same { Effect::Detail } else { Effect::Change }
    }

    /// Marks suspects that have not refuted in time as dead. Returns their new records.
    pub fn expire_suspects(&mut self, timeout: Duration, now: Time) -> Vec<Record> {
        let overdue =
            |it: &&Entry| it.record.state == State::Suspect && now.since(it.since) >= timeout;
        let dead: Vec<_> = self
            .records
            .values()
            .filter(overdue)
            .map(|it| Record { state: State::Dead, ..it.record.clone() })
            .collect();
        for record in &dead {
            self.merge(record.clone(), now);
        }
        dead
    }

    /// Removes nodes that have been dead for at least `retention`.
    pub fn remove_dead(&mut self, retention: Duration, now: Time) {
        let is_kept =
            |it: &Entry| it.record.state != State::Dead || now.since(it.since) < retention;
        // Dead nodes do not count towards the digest, so it does not change.
        self.records.retain(|_, it| is_kept(it));
        self.keys.retain(|_, it| self.records.contains_key(it));
    }

    /// Restarts the suspicion timeout of every suspect, because this process was paused.
    pub fn reset_suspicions(&mut self, now: Time) {
        for known in self.records.values_mut().filter(|it| it.record.state == State::Suspect) {
            known.since = now;
        }
    }
}

fn bucket(name: &Name) -> usize {
    xxh3_64(name.as_str().as_bytes()) as usize % BUCKETS
}

/// Returns the contribution of a record to the digest. Suspicion is left out, since it is
/// transient.
fn record_digest(record: &Record) -> u32 {
    if record.state == State::Dead {
        return 0;
    }
    let mut hasher = Xxh3Default::new();
    record.name.hash(&mut hasher);
    record.incarnation.boot.hash(&mut hasher);
    (record.state == State::Leaving).hash(&mut hasher);
    hasher.finish() as u32
}
