use std::{collections::VecDeque, time::Duration};

use crate::{fingerprint::Fingerprint, name::Name, time::Time};

/// How long after a connection broke its server must be found out of reach for a crash.
const CRASH_TIME: Duration = Duration::from_millis(1_500);

/// Broken attempts that are remembered.
const CAPACITY: usize = 1_000;

/// Tells crashes from connections that merely broke: a server that crashed is out of reach.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    broken: VecDeque<(Time, Fingerprint, Name)>,
}

impl Witness {
    /// Creates a witness that has seen nothing.
    pub fn new() -> Witness {
        Witness::default()
    }

    /// Takes note that the connection of an attempt broke.
    pub fn on_broken(&mut self, fingerprint: Fingerprint, server: Name, now: Time) {
        self.broken.push_back((now, fingerprint, server));
        if self.broken.len() > CAPACITY {
            self.broken.pop_front();
        }
    }

    /// Takes note that a server is out of reach. Returns the contents that it was running when its
    /// connections broke.
    pub fn on_unreachable(&mut self, server: &Name, now: Time) -> Vec<Fingerprint> {
        while self.broken.front().is_some_and(|it| now.since(it.0) >= CRASH_TIME) {
            self.broken.pop_front();
        }
        let blamed = self.broken.iter().filter(|it| it.2 == *server).map(|it| it.1).collect();
        self.broken.retain(|it| it.2 != *server);
        blamed
    }
}
