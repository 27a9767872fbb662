use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use mimosabridge::config::{Bundle, Change, Head};
use serde_json::json;
use tokio::sync::watch;

use super::{Entry, Vm};

/// The largest size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The contents of the platform, and the faults that are injected.
#[derive(Debug)]
pub struct Store {
    entries: Mutex<BTreeMap<String, Entry>>,
    stale: Mutex<Option<BTreeMap<String, Entry>>>,
    vms: Mutex<Vec<Vm>>,
    changed: watch::Sender<u64>,
    reads: AtomicU64,
    down: AtomicBool,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Store {
        Store {
            entries: Mutex::default(),
            stale: Mutex::default(),
            vms: Mutex::default(),
            changed: watch::Sender::new(0),
            reads: AtomicU64::new(0),
            down: AtomicBool::new(false),
        }
    }

    /// Writes a value, as an operator does. Returns false and writes nothing if it is too large.
    pub fn put(&self, key: &str, value: String) -> bool {
        if value.len() > MAX_VALUE_BYTES {
            return false;
        }
        let mut entries = lock(&self.entries);
        let revision = entries.get(key).map_or(0, |it| it.revision) + 1;
        entries.insert(key.to_owned(), Entry { revision, value });
        drop(entries);
        self.changed.send_modify(|it| *it += 1);
        true
    }

    /// Publishes a configuration, as an operator does, with the head last. Returns whether every value is
    /// small enough.
    pub fn publish(&self, bundle: &Bundle, change: &Change) -> bool {
        let head = bundle.head();
        let parts = bundle.parts().into_iter().enumerate();
        let mut fits = true;
        for (number, part) in parts {
            fits &= self.put(&head.part_key(number), part);
        }
        fits &= self.put(&head.change_key(), json!(change).to_string());
        fits && self.put(Head::KEY, json!(head).to_string())
    }

    /// Returns the value of a key, and counts the read.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.peek(key)
    }

    /// Returns the value of a key without counting the read.
    pub fn peek(&self, key: &str) -> Option<Entry> {
        let stale = lock(&self.stale);
        match &*stale {
            Some(entries) => entries.get(key).cloned(),
            None => lock(&self.entries).get(key).cloned(),
        }
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        *lock(&self.vms) = vms;
    }

    /// Returns the list of VMs, and counts the read.
    pub fn vms(&self) -> Vec<Vm> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        lock(&self.vms).clone()
    }

    /// Returns the number of reads and watches so far.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Makes the service unavailable or available again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Returns whether the service is unavailable.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Makes readers see the values as of now in spite of later writes, or the current ones again.
    pub fn set_stale(&self, stale: bool) {
        let frozen = stale.then(|| lock(&self.entries).clone());
        *lock(&self.stale) = frozen;
        self.changed.send_modify(|it| *it += 1);
    }

    /// Returns a copy of all entries, for [`Store::restore`].
    pub fn copy(&self) -> BTreeMap<String, Entry> {
        lock(&self.entries).clone()
    }

    /// Brings the service back from an older copy: later changes are lost, and their revisions will
    /// be given out again.
    pub fn restore(&self, copy: BTreeMap<String, Entry>) {
        *lock(&self.entries) = copy;
        self.changed.send_modify(|it| *it += 1);
    }

    /// Returns a receiver that is notified of every write.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

impl Default for Store {
    fn default() -> Store {
        Store::new()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
