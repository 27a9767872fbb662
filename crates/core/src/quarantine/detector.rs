use std::{collections::HashMap, time::Duration};

use super::{Crash, crash::REPEAT_GAP};
use crate::{directory::Entry, fingerprint::Fingerprint, name::Name, time::Time};

/// How long a lost attempt may be found to be a crash: a server that vanishes is silent for three
/// heartbeats before the store removes its entry.
const WINDOW: Duration = Duration::from_secs(10);

/// The maximum number of lost attempts that are kept.
const CAPACITY: usize = 1_000;

/// Distinguishes crashes of servers from lost answers: a server that crashed cannot be reached
/// afterwards, and its entry disappears.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// The lost attempts by server.
    lost: HashMap<Name, Vec<Lost>>,
    len: usize,
}

/// How an attempt was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// Its connection broke.
    Broken,
    /// No answer arrived in time.
    Silent,
}

/// What shows that a server has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// Opening a connection took too long. After a silent attempt, this may be the network.
    Unreachable,
    /// Its machine refused a connection.
    Refused,
    /// Its entry was removed or names another start, or another server has its address.
    Replaced,
}

#[derive(Clone, Debug)]
struct Lost {
    fingerprint: Fingerprint,
    /// Distinguishes the starts of the server.
    born: u64,
    at: Time,
    loss: Loss,
    is_repeat: bool,
    /// Whether the server could not be reached since.
    is_unreachable: bool,
}

impl Detector {
    /// Creates a detector without any lost attempts.
    pub fn new() -> Detector {
        Detector::default()
    }

    /// Records that an attempt was lost. `is_repeat` says that it repeats an earlier one. Returns
    /// whether the server must be checked: no check of it is pending.
    pub fn on_lost(
        &mut self,
        fingerprint: Fingerprint,
        server: &Entry,
        loss: Loss,
        is_repeat: bool,
        now: Time,
    ) -> bool {
        if self.len >= CAPACITY {
            return false;
        }
        let lost = self.lost.entry(server.id.clone()).or_default();
        let is_checked = lost.iter().any(|it| !it.is_unreachable);
        let born = server.born;
        lost.push(Lost { fingerprint, born, at: now, loss, is_repeat, is_unreachable: false });
        self.len += 1;
        !is_checked
    }

    /// Returns whether an attempt that was sent at `sent` repeats a lost one with the same content.
    pub fn is_repeat(&self, fingerprint: Fingerprint, sent: Time) -> bool {
        let mut lost = self.lost.values().flatten();
        lost.any(|it| it.fingerprint == fingerprint && it.at + REPEAT_GAP <= sent)
    }

    /// Returns whether a content may have crashed a server: the connection of an attempt broke, or
    /// its server was silent and could not be reached, and the server was not found to be running
    /// since.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let mut lost = self.lost.values().flatten();
        lost.any(|it| {
            it.fingerprint == fingerprint && (it.loss == Loss::Broken || it.is_unreachable)
        })
    }

    /// Records that a server answered to an attempt or a connection that began at `since`. Returns
    /// the contents that did not crash it.
    pub fn on_reached(&mut self, server: &Name, since: Time) -> Vec<Fingerprint> {
        self.take(server, |it| it.at <= since).into_iter().map(|it| it.fingerprint).collect()
    }

    /// Records a sign that a server has ended. Returns the crashes that it proves.
    pub fn on_sign(&mut self, server: &Name, sign: Sign, now: Time) -> Vec<(Fingerprint, Crash)> {
        let lost = self.lost.get_mut(server).into_iter().flatten();
        lost.for_each(|it| it.is_unreachable = true);
        let is_proof = |it: &Lost| it.loss == Loss::Broken || sign != Sign::Unreachable;
        let proven = self.take(server, is_proof).into_iter();
        let crash = |it: Lost| Crash {
            server: server.clone(),
            born: it.born,
            age: now.since(it.at),
            is_repeat: it.is_repeat,
        };
        proven.map(|it| (it.fingerprint, crash(it))).collect()
    }

    /// Drops the attempts that were lost too long ago to be crashes, and those at the servers that
    /// `is_leaving` names, which end as planned. Returns them.
    pub fn expire(
        &mut self,
        is_leaving: impl Fn(&Name) -> bool,
        now: Time,
    ) -> Vec<(Fingerprint, Name)> {
        let mut dropped = Vec::new();
        for server in self.lost.keys().cloned().collect::<Vec<_>>() {
            let is_leaving = is_leaving(&server);
            let old = self.take(&server, |it| is_leaving || now.since(it.at) >= WINDOW);
            dropped.extend(old.into_iter().map(|it| (it.fingerprint, server.clone())));
        }
        dropped
    }

    fn take(&mut self, server: &Name, is_taken: impl Fn(&Lost) -> bool) -> Vec<Lost> {
        let Some(lost) = self.lost.get_mut(server) else { return Vec::new() };
        let taken: Vec<_> = lost.extract_if(.., |it| is_taken(it)).collect();
        self.len -= taken.len();
        if lost.is_empty() {
            self.lost.remove(server);
        }
        taken
    }
}
