use std::time::Duration;

use crate::time::Time;

/// Longer than the pause between two reads of a node, which shows no outage.
const MAX_READ_PAUSE: Duration = Duration::from_secs(1);

/// How long a lapsed entry may take to reappear once the store is available again. The platform
/// promises about two seconds; the rest allows for delivery to this node.
const RESTORE_GRACE: Duration = Duration::from_millis(2_300);

/// The longest time between two answers of the store to a node whose watches are answered: a watch
/// with its timeout, and the pause before it.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(3_500);

/// A span of time in which the store had no outage that makes entries lapse.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Uptime {
    /// The earliest time that the span is known to include.
    pub since: Time,
    /// The latest time that the span is known to include.
    pub until: Time,
}

impl Uptime {
    /// Creates the span of a single moment.
    pub fn at(time: Time) -> Uptime {
        Uptime { since: time, until: time }
    }
}

/// The latest uptime of the store, from the reads of this node and of others.
///
/// A node whose own reads fail can't tell an outage from a fault of its own connection. A read that was
/// answered, here or at another node, shows that the store was available all the while.
#[derive(Clone, Copy, Debug)]
pub(super) struct Record {
    /// The shortest outage that can make entries lapse: the interval in which servers write. An entry lapses after three
    /// intervals without a write, and a shorter outage prevents one write at most.
    min_outage: Duration,
    uptime: Option<Uptime>,
    /// Whether an outage preceded the uptime. A node that has just started knows of none.
    is_after_outage: bool,
    /// When the store came back from an older copy, which counts as the end of an outage.
    restored: Time,
}

impl Record {
    /// Creates a record of servers that write their entries at an interval.
    pub fn new(write_interval: Duration) -> Record {
        let min_outage = write_interval.max(MAX_READ_PAUSE);
        Record { min_outage, uptime: None, is_after_outage: false, restored: Time::ZERO }
    }

    /// Returns whether a span begins so soon after an earlier one that there was no outage between them.
    fn continues(&self, later: &Uptime, earlier: &Uptime) -> bool {
        later.since <= earlier.until + self.min_outage
    }

    /// Returns the latest uptime, if any is known.
    pub fn uptime(&self) -> Option<Uptime> {
        self.uptime
    }

    /// Adds an uptime. It may bridge what seemed to be an outage.
    pub fn add(&mut self, new: Uptime) {
        let Some(known) = self.uptime else {
            self.uptime = Some(new);
            return;
        };
        if !self.continues(&new, &known) {
            self.uptime = Some(new);
            self.is_after_outage = true;
        } else if self.continues(&known, &new) {
            let since = known.since.min(new.since).max(self.restored);
            self.uptime = Some(Uptime { since, until: known.until.max(new.until) });
        }
    }

    /// Adds an uptime, unless there may have been an outage before it.
    pub fn extend(&mut self, new: Uptime) {
        if self.uptime.is_none_or(|it| self.continues(&new, &it)) {
            self.add(new);
        }
    }

    /// Records that the store failed this node, which matters if nothing is known of it.
    pub fn on_failure(&mut self, now: Time) {
        self.uptime.get_or_insert(Uptime::at(now));
    }

    /// Records that an outage has ended.
    pub fn on_outage_end(&mut self, now: Time) {
        self.uptime = Some(Uptime::at(now));
        self.is_after_outage = true;
    }

    /// Records that the store came back from an older copy.
    pub fn on_restored(&mut self, now: Time) {
        self.restored = now;
        self.on_outage_end(now);
    }

    /// Returns whether entries that lapsed in an outage have had time to reappear. `failing_since` says since when
    /// the store has failed this node, if it does.
    pub fn is_settled(&self, failing_since: Option<Time>, now: Time) -> bool {
        let Some(uptime) = self.uptime.filter(|_| self.is_after_outage) else { return true };
        let until = if failing_since.is_some() { uptime.until } else { now };
        until.since(uptime.since) >= RESTORE_GRACE
    }

    /// Returns whether the store has been available lately, although it may have failed this node.
    pub fn is_recent(&self, failing_since: Option<Time>, now: Time) -> bool {
        self.uptime.is_some_and(|it| {
            let is_later = failing_since.is_none_or(|since| it.until > since);
            is_later && now.since(it.until) <= MAX_CONTACT_AGE
        })
    }
}
