use std::time::Duration;

use super::Crash;
use crate::{name::Name, time::Time};

/// The number of crashes after which a content is quarantined, if they are independent.
pub const CRASH_THRESHOLD: usize = 2;

/// How long a crash counts.
pub(super) const TTL: Duration = Duration::from_secs(300);

/// Crashes that are farther apart than this are independent: one fault ends its servers together.
const INDEPENDENT_AFTER: Duration = Duration::from_secs(1);

/// The maximum number of crashes that are kept for a content.
const MAX_CRASHES: usize = 4;

/// The crashes of one content.
#[derive(Clone, Debug, Default)]
pub(super) struct Content {
    pub crashes: Vec<Known>,
    /// When a crash would expire that happened as the last run without a crash started. Crashes
    /// that expire no later do not count.
    pub cleared: Option<Time>,
}

/// A crash as it is kept. Its time may lie before the start of this process, its expiry does not.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub server: Name,
    born: u64,
    is_repeat: bool,
    pub expires: Time,
}

impl Content {
    /// Adds a crash. Returns whether it is new, or newly known to be a repeat.
    pub fn record(&mut self, crash: Crash, expires: Time) -> bool {
        let Crash { server, born, is_repeat, .. } = crash;
        let is_same = |it: &&mut Known| it.server == server && it.born == born;
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            // News that was held up on its way makes a crash look later than it was.
            known.expires = known.expires.min(expires);
            let is_news = is_repeat && !known.is_repeat;
            known.is_repeat |= is_repeat;
            return is_news;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let oldest = (0..self.crashes.len()).min_by_key(|it| self.crashes[*it].expires);
            let Some(oldest) = oldest.filter(|it| self.crashes[*it].expires < expires) else {
                return false;
            };
            self.crashes.remove(oldest);
        }
        self.crashes.push(Known { server, born, is_repeat, expires });
        true
    }

    /// Returns whether two crashes that count are independent.
    pub fn is_quarantined(&self, now: Time) -> bool {
        if self.counted(now).count() < CRASH_THRESHOLD {
            return false;
        }
        let first = self.counted(now).map(|it| it.expires).min().unwrap_or_default();
        let last = self.counted(now).map(|it| it.expires).max().unwrap_or_default();
        last.since(first) >= INDEPENDENT_AFTER || self.counted(now).any(|it| it.is_repeat)
    }

    /// Returns the crashes that count.
    pub fn counted(&self, now: Time) -> impl Iterator<Item = &Known> {
        let is_counted =
            move |it: &&Known| it.expires > now && self.cleared.is_none_or(|at| it.expires > at);
        self.crashes.iter().filter(is_counted)
    }
}

impl Known {
    /// Returns the crash with its age, for other nodes.
    pub fn crash(&self, now: Time) -> Crash {
        Crash {
            server: self.server.clone(),
            born: self.born,
            age: TTL.saturating_sub(now.until(self.expires)),
            is_repeat: self.is_repeat,
        }
    }
}
