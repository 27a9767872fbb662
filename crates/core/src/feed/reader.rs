use std::time::Duration;

use super::Position;
use crate::time::Time;

/// The minimum time between an answer and the next watch. Each call to the store is billed: changes
/// in the meantime arrive in one answer, and a node that has just started gets time to discover the
/// peers that it may follow.
const WATCH_INTERVAL: Duration = Duration::from_millis(700);

/// How long a watch waits for a change. A store that was away forgets pending watches, and only the
/// end of the wait shows it.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the store may take to answer a watch, in addition to its wait. The store answers within
/// milliseconds, or within a fifth of a second when it is slow.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a watch waits while the store counts as unavailable. The wait is short because only its
/// answer shows that the store has recovered.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a watch waits after one that was cut. A store that cuts watches answers this one.
const SHORT_PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// The backoff after the first failed read. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);

/// The longest backoff after a failed read, before jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// The number of consecutive failed reads after which the store counts as unavailable.
const UNAVAILABLE_AFTER: u32 = 1;

/// The next step of a node that reads the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// List everything.
    List,
    /// Watch for changes after a position.
    Watch {
        /// The position.
        after: Position,
        /// How long to wait.
        wait: Duration,
    },
    /// Pause until a point in time.
    Pause(Time),
}

/// Decides when this node reads the store, and whether the store counts as unavailable.
#[derive(Clone, Copy, Debug)]
pub struct Reader {
    /// The store no longer holds the changes since the known revision.
    is_history_expired: bool,
    failures: u32,
    /// The store has closed the connection of the last read.
    was_cut: bool,
    next_read: Time,
    last_contact: Time,
}

impl Reader {
    /// Creates a reader that has read nothing.
    pub fn new(now: Time) -> Reader {
        Reader {
            is_history_expired: false,
            failures: 0,
            was_cut: false,
            next_read: now,
            last_contact: now,
        }
    }

    /// Returns the next step. `known` is the position up to which this node knows everything, from
    /// the store or from a peer.
    pub fn step(&self, known: Position, now: Time) -> Step {
        if now < self.next_read {
            return Step::Pause(self.next_read);
        }
        if known.is_start() || self.is_history_expired {
            return Step::List;
        }
        let wait = match () {
            () if self.was_cut => SHORT_PROBE_TIMEOUT,
            () if self.is_store_unavailable() => PROBE_TIMEOUT,
            () => WATCH_TIMEOUT,
        };
        Step::Watch { after: known, wait }
    }

    /// Records that the store answered a list.
    pub fn on_list(&mut self, now: Time) {
        self.is_history_expired = false;
        self.on_watch(now);
    }

    /// Records that the store answered a watch.
    pub fn on_watch(&mut self, now: Time) {
        self.failures = 0;
        self.was_cut = false;
        self.last_contact = now;
        self.next_read = now + WATCH_INTERVAL;
    }

    /// Records that the changes with which the store answered a watch, up to `answered`, do not
    /// continue those up to `after`. The store has begun a new era or lost changes, so that a new
    /// list is needed; an answer from an earlier era counts as a failed read.
    pub fn on_discontinued(&mut self, after: Position, answered: Position, now: Time) {
        if answered.era < after.era {
            self.on_failure(1.0, now);
        } else {
            self.on_history_expired(now);
        }
    }

    /// Records that the store no longer holds the changes since the known revision, so that a new
    /// list is needed.
    pub fn on_history_expired(&mut self, now: Time) {
        self.is_history_expired = true;
        self.last_contact = now;
        self.next_read = now;
    }

    /// Records that the store has closed the connection of a read. Returns whether that counts as a failure:
    /// the store may cut a watch that waits, but not the next read, too.
    pub fn on_cut(&mut self, jitter: f64, now: Time) -> bool {
        let is_failure = self.was_cut || self.is_store_unavailable();
        if is_failure {
            self.on_failure(jitter, now);
        } else {
            self.next_read = now + INITIAL_BACKOFF.mul_f64(0.5 + jitter);
        }
        self.was_cut = true;
        is_failure
    }

    /// Records that a read failed. `jitter`, from 0 to 1, keeps nodes from retrying at the same
    /// time.
    pub fn on_failure(&mut self, jitter: f64, now: Time) {
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(self.failures.min(6))).min(MAX_BACKOFF);
        self.failures += 1;
        self.was_cut = false;
        self.next_read = now + backoff.mul_f64(0.5 + jitter);
    }

    /// Returns whether the store counts as unavailable to this node.
    pub fn is_store_unavailable(&self) -> bool {
        self.failures >= UNAVAILABLE_AFTER
    }

    /// Returns the time since the store last answered.
    pub fn contact_age(&self, now: Time) -> Duration {
        now.since(self.last_contact)
    }
}
