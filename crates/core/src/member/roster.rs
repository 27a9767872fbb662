use std::{
    collections::{BTreeMap, HashMap},
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

use super::{Record, State};
use crate::{name::Name, time::Time};

/// Parts of the roster with a digest of their own.
const BUCKETS: usize = 64;

/// Every node that is known, this one included.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    records: BTreeMap<Name, Known>,
    keys: HashMap<u32, Name>,
    digest: u32,
}

/// What became of a record that was offered to a roster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// It says no more than what is known.
    Stale,
    /// It was taken, and changes nothing about how the node is used.
    Detail,
    /// It was taken, and the node must be used differently.
    Change,
}

#[derive(Clone, Debug)]
struct Known {
    record: Record,
    since: Time,
    /// The node is dead and did not leave first.
    lost: bool,
}

impl Roster {
    /// Creates an empty roster.
    pub fn new() -> Roster {
        Roster::default()
    }

    /// Returns all records, by name.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(|it| &it.record)
    }

    /// Returns the record of a node.
    pub fn get(&self, name: &Name) -> Option<&Record> {
        self.records.get(name).map(|it| &it.record)
    }

    /// Returns the record of the node whose name has a hash.
    pub fn by_key(&self, key: u32) -> Option<&Record> {
        self.get(self.keys.get(&key)?)
    }

    /// Returns the node that takes packets at an address.
    pub fn at(&self, address: SocketAddr) -> Option<&Record> {
        self.records().find(|it| it.peer == address)
    }

    /// Returns the number of nodes that are not dead.
    pub fn live(&self) -> usize {
        self.records().filter(|it| it.state != State::Dead).count()
    }

    /// Returns the digest of each part of the roster.
    pub fn digests(&self) -> Vec<u32> {
        let mut digests = vec![0; BUCKETS];
        for record in self.records() {
            digests[bucket(&record.name)] ^= mark(record);
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

    /// Returns whether the nodes that answer are no more than those that were lost without a word
    /// or do not answer lately.
    pub fn is_minority(&self) -> bool {
        let suspect = self.records().filter(|it| it.state == State::Suspect).count();
        let lost = self.records.values().filter(|it| it.lost).count();
        self.live() - suspect <= lost + suspect
    }

    /// Returns a digest that is equal on nodes with the same beliefs about which nodes live.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Takes a record if it says more than what is known.
    pub fn take(&mut self, record: Record, now: Time) -> Taken {
        let known = self.records.get(&record.name);
        if known.is_some_and(|it| !record.supersedes(&it.record)) {
            return Taken::Stale;
        }
        if known.is_none() && record.state == State::Dead {
            return Taken::Stale;
        }
        let is_same = known.is_some_and(|it| it.record.is_used_like(&record));
        self.digest ^= mark(&record);
        self.keys.insert(record.key(), record.name.clone());
        let has_left = known.is_some_and(|it| it.record.state == State::Leaving);
        let lost = record.state == State::Dead && !has_left;
        let old = self.records.insert(record.name.clone(), Known { record, since: now, lost });
        if let Some(old) = old {
            self.digest ^= mark(&old.record);
        }
        if is_same { Taken::Detail } else { Taken::Change }
    }

    /// Suspects that have not refuted in time are dead. Returns their new records.
    pub fn bury(&mut self, suspicion: Duration, now: Time) -> Vec<Record> {
        let overdue =
            |it: &&Known| it.record.state == State::Suspect && now.since(it.since) >= suspicion;
        let dead: Vec<_> = self
            .records
            .values()
            .filter(overdue)
            .map(|it| Record { state: State::Dead, ..it.record.clone() })
            .collect();
        for record in &dead {
            self.take(record.clone(), now);
        }
        dead
    }

    /// Forgets nodes that have been dead for longer than `memory`.
    pub fn forget(&mut self, memory: Duration, now: Time) {
        let is_kept = |it: &Known| it.record.state != State::Dead || now.since(it.since) < memory;
        // The dead have no part in the digest, so it stays as it is.
        self.records.retain(|_, it| is_kept(it));
        self.keys.retain(|_, it| self.records.contains_key(it));
    }

    /// Starts the time of every suspect anew, because this process slept.
    pub fn excuse(&mut self, now: Time) {
        for known in self.records.values_mut().filter(|it| it.record.state == State::Suspect) {
            known.since = now;
        }
    }
}

fn bucket(name: &Name) -> usize {
    xxh3_64(name.as_str().as_bytes()) as usize % BUCKETS
}

/// Returns the part of a record in the digest. Suspicion is left out: it comes and goes.
fn mark(record: &Record) -> u32 {
    if record.state == State::Dead {
        return 0;
    }
    let mut hasher = Xxh3Default::new();
    record.name.hash(&mut hasher);
    record.incarnation.boot.hash(&mut hasher);
    (record.state == State::Leaving).hash(&mut hasher);
    hasher.finish() as u32
}
