use std::{collections::VecDeque, time::Duration};

use crate::{fingerprint::Fingerprint, name::Name, time::Time};

/// The longest time between a broken connection and the discovery that the server is unreachable
/// for both to count as a crash.
const CRASH_WINDOW: Duration = Duration::from_millis(1_500);

/// The maximum number of broken attempts that are kept.
const CAPACITY: usize = 1_000;

/// When the attempt broke, the content and the server.
type Broken = (Time, Fingerprint, Name);

/// Distinguishes crashes of servers from broken connections: a server that crashed cannot be
/// reached afterwards.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    broken: VecDeque<Broken>,
}

impl CrashDetector {
    /// Creates a detector without any broken attempts.
    pub fn new() -> CrashDetector {
        CrashDetector::default()
    }

    /// Records that the connection of an attempt broke.
    pub fn on_broken(&mut self, fingerprint: Fingerprint, server: Name, now: Time) {
        self.broken.push_back((now, fingerprint, server));
        if self.broken.len() > CAPACITY {
            self.broken.pop_front();
        }
    }

    /// Records that a server is unreachable. Returns the contents that it was running when its
    /// connections broke.
    pub fn on_unreachable(&mut self, server: &Name, now: Time) -> Vec<Fingerprint> {
        let is_crash = |it: &Broken| it.2 == *server && now.since(it.0) < CRASH_WINDOW;
        self.take(is_crash).into_iter().map(|it| it.1).collect()
    }

    /// Drops the broken attempts that are too old to be crashes, and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<(Fingerprint, Name)> {
        let old = self.take(|it| now.since(it.0) >= CRASH_WINDOW);
        old.into_iter().map(|it| (it.1, it.2)).collect()
    }

    fn take(&mut self, is_taken: impl Fn(&Broken) -> bool) -> VecDeque<Broken> {
        let (taken, rest) = self.broken.drain(..).partition(is_taken);
        self.broken = rest;
        taken
    }
}
