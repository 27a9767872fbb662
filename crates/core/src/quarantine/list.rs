use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{fingerprint::Fingerprint, name::Name, time::Time};

/// The number of different servers that a content must crash to be quarantined.
pub const CRASH_THRESHOLD: usize = 2;

/// How long a crash counts.
const TTL: Duration = Duration::from_secs(300);

/// The maximum number of crashes in a list.
const CAPACITY: usize = 10_000;

/// Crashes of backend servers, by the content that they were running.
///
/// A content that crashed two servers is quarantined until the crashes expire. A content that
/// crashed one server is suspect until the crash expires or a run without a crash clears it.
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

    /// Records a crash. Returns whether it is new.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, server: Name, now: Time) -> bool {
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

    /// Clears a suspect content after a run without a crash. Does not end a quarantine. Returns the
    /// servers whose crashes no longer count.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> Vec<Name> {
        if self.crashed_servers(fingerprint).len() >= CRASH_THRESHOLD {
            return Vec::new();
        }
        self.crashes.remove(&fingerprint).unwrap_or_default()
    }

    /// Returns the servers that crashed while they were running a content.
    pub fn crashed_servers(&self, fingerprint: Fingerprint) -> &[Name] {
        self.crashes.get(&fingerprint).map_or(&[], |it| it)
    }

    /// Returns whether a content is quarantined and must not be run.
    pub fn is_quarantined(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        self.expire(now);
        self.crashed_servers(fingerprint).len() >= CRASH_THRESHOLD
    }

    /// Returns the number of contents with at least one crash.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether the list holds no crash.
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
