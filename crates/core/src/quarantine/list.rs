use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{fingerprint::Fingerprint, name::Name, time::Time};

/// Different servers whose crashes convict a content.
pub const CONVICTING_CRASHES: usize = 2;

/// How long a crash is held against a content.
const TTL: Duration = Duration::from_secs(300);

/// Crashes that are remembered.
const CAPACITY: usize = 10_000;

/// Crashes of backend servers by the content that they were running.
///
/// A content that crashed two servers is quarantined until the crashes expire. A content that
/// crashed one is suspect; a run that succeeds clears it.
#[derive(Clone, Debug, Default)]
pub struct List {
    crashes: HashMap<Fingerprint, Vec<Name>>,
    order: VecDeque<(Time, Fingerprint, Name)>,
}

impl List {
    /// Creates an empty list.
    pub fn new() -> List {
        List::default()
    }

    /// Takes note of a crash. Returns whether it was not known.
    pub fn report(&mut self, fingerprint: Fingerprint, server: Name, now: Time) -> bool {
        self.expire(now);
        let servers = self.crashes.entry(fingerprint).or_default();
        if servers.contains(&server) {
            return false;
        }
        servers.push(server.clone());
        self.order.push_back((now, fingerprint, server));
        if self.order.len() > CAPACITY {
            self.drop_oldest();
        }
        true
    }

    /// Takes note that a content was run without a crash. A conviction stands.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if self.crashed(fingerprint).len() < CONVICTING_CRASHES {
            self.crashes.remove(&fingerprint);
        }
    }

    /// Returns the servers that crashed while they ran a content.
    pub fn crashed(&self, fingerprint: Fingerprint) -> &[Name] {
        self.crashes.get(&fingerprint).map_or(&[], |it| it)
    }

    /// Returns whether a content must not be run.
    pub fn is_quarantined(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        self.expire(now);
        self.crashed(fingerprint).len() >= CONVICTING_CRASHES
    }

    /// Returns the number of contents with a crash.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    fn expire(&mut self, now: Time) {
        while self.order.front().is_some_and(|it| now.since(it.0) >= TTL) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, fingerprint, server)) = self.order.pop_front() else { return };
        let Some(servers) = self.crashes.get_mut(&fingerprint) else { return };
        servers.retain(|it| *it != server);
        if servers.is_empty() {
            self.crashes.remove(&fingerprint);
        }
    }
}
