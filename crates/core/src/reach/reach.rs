use std::{collections::HashMap, time::Duration};

use rand::{Rng, seq::IteratorRandom};

use super::Helper;
use crate::{name::Name, time::Time};

/// Answers that do not come show something if none has come for this time. It is longer than servers
/// pause, and than most requests take.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// The number of servers that must fail before this node asks others whether it reaches them.
const MIN_SERVERS: usize = 3;

/// How long a failure of a server counts.
const WINDOW: Duration = Duration::from_secs(2);

/// How soon this node doubts again that it reaches servers after some have answered its checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The number of checks in a row that must be answered before this node reaches the servers again.
const MIN_ANSWERS: u32 = 2;

/// How long a node that could not help is left alone.
const HELPER_BACKOFF: Duration = Duration::from_secs(1);

/// How long a node counts as stopping after it has said so, unless its successor answers before.
const LEAVING_TIME: Duration = Duration::from_secs(10);

/// How long ago a server may have answered a node that others may need, before it checks one. The word that a server
/// answered must reach them while it counts.
const MAX_QUIET: Duration = Duration::from_secs(2);

/// How soon it checks another server if one has not answered.
const QUIET_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long this node's view of servers is not told to others after the last answer of one: a node
/// that is being cut off sees all of them fail.
const MAX_REPORT_SILENCE: Duration = Duration::from_millis(250);

/// Whether this node reaches the servers.
///
/// Some servers that fail are a reason to check others, over new connections, as old ones may live
/// on while new ones are refused. If none of these answers, this node has lost the servers. That
/// shows a cut only if other nodes reach them: else the servers are down.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    started: Time,
    /// When a server last answered.
    answered: Option<Time>,
    /// When servers failed.
    failures: HashMap<Name, Time>,
    is_checking: bool,
    /// Whether another node may need this one.
    is_needed: bool,
    /// When this node last began to check a server for the sake of others.
    last_check: Option<Time>,
    /// When checks last showed that this node reaches the servers.
    checked: Option<Time>,
    /// The checks in a row that were answered since this node lost the servers.
    answers: u32,
    helpers: Vec<Helper>,
    /// Until when nodes that could not help are left alone.
    avoided: HashMap<Name, Time>,
    /// Until when nodes count as stopping.
    leaving: HashMap<Name, Time>,
    lost_since: Option<Time>,
}

/// What this node knows of its reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Servers answer, or nothing shows that they do not.
    Reached,
    /// This node has lost the servers, and knows of no other that has not.
    Down,
    /// This node has lost the servers, and others reach them.
    Stranded,
}

impl Reach {
    /// Creates the reach of a node that has sent no request.
    pub fn new(now: Time) -> Reach {
        Reach { started: now, ..Reach::default() }
    }

    /// Records an answer of a server.
    pub fn on_answer(&mut self, now: Time) {
        self.answered = Some(now);
    }

    /// Records that a connection to a server broke or did not open. Returns whether others must be
    /// checked; [`Reach::on_checks`] takes the result.
    pub fn on_failure(&mut self, server: &Name, now: Time) -> bool {
        self.failures.retain(|_, it| now.since(*it) < WINDOW);
        self.failures.insert(server.clone(), now);
        let was_checked = self.checked.is_some_and(|it| now.since(it) < CHECK_INTERVAL);
        let is_busy = self.is_checking || was_checked || self.lost_since.is_some();
        if is_busy || self.failures.len() < MIN_SERVERS {
            return false;
        }
        self.is_checking = true;
        true
    }

    /// Records that a server has not answered in time, which shows something only if no other has
    /// answered either: the server may be slow. Returns whether others must be checked.
    pub fn on_silence(&mut self, server: &Name, now: Time) -> bool {
        self.silence(now) >= MIN_SILENCE && self.on_failure(server, now)
    }

    /// Records whether another node may need this one to serve its callers.
    pub fn set_needed(&mut self, is_needed: bool) {
        self.is_needed = is_needed;
    }

    /// Returns whether to check a server now, because another node may need this one, which has had no answer for some
    /// time. An answer goes to [`Reach::on_answer`], a failure to [`Reach::on_failure`].
    pub fn begin_check(&mut self, now: Time) -> bool {
        let is_quiet = self.silence(now) >= MAX_QUIET && self.lost_since.is_none();
        let was_begun = self.last_check.is_some_and(|it| now.since(it) < QUIET_CHECK_INTERVAL);
        let is_due = self.is_needed && is_quiet && !was_begun;
        if is_due {
            self.last_check = Some(now);
        }
        is_due
    }

    /// Returns whether a server has lately failed.
    pub fn has_failed(&self, server: &Name) -> bool {
        self.failures.contains_key(server)
    }

    /// Returns the number of servers that have lately failed.
    pub fn failed(&self) -> usize {
        self.failures.len()
    }

    /// Records how many of the servers that were checked have answered. Returns whether this node
    /// has lost the servers.
    pub fn on_checks(&mut self, answers: usize, now: Time) -> bool {
        self.is_checking = false;
        if answers > 0 {
            self.checked = Some(now);
            self.failures.clear();
            return false;
        }
        self.lost_since = Some(now);
        self.answers = 0;
        true
    }

    /// Records the check of one server while this node has lost them. Returns for how long it had, if
    /// it reaches them again.
    pub fn on_check(&mut self, is_answered: bool, now: Time) -> Option<Duration> {
        let lost_since = self.lost_since?;
        self.answers = if is_answered { self.answers + 1 } else { 0 };
        if self.answers < MIN_ANSWERS {
            return None;
        }
        self.failures.clear();
        self.checked = Some(now);
        self.lost_since = None;
        Some(now.since(lost_since))
    }

    /// Returns when a server last answered, unless this node has lost them.
    pub fn answered(&self) -> Option<Time> {
        self.answered.filter(|_| self.lost_since.is_none())
    }

    /// Returns whether this node has lost the servers.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Returns whether what this node observes of servers shows something about them, not about the
    /// network between.
    pub fn is_witness(&self, now: Time) -> bool {
        let is_silent = self.silence(now) >= MAX_REPORT_SILENCE;
        self.status(now) != Status::Stranded && !(is_silent && self.failures.len() >= MIN_SERVERS)
    }

    /// Sets the nodes that have lately reached a server.
    pub fn set_helpers(&mut self, helpers: Vec<Helper>) {
        self.helpers = helpers;
    }

    /// Records that a node could not help.
    pub fn on_refusal(&mut self, helper: &Name, now: Time) {
        self.avoided.retain(|_, it| *it > now);
        self.avoided.insert(helper.clone(), now + HELPER_BACKOFF);
    }

    /// Records whether a node says in its answer that it stops.
    pub fn on_helped(&mut self, helper: &Name, is_leaving: bool, now: Time) {
        self.leaving.retain(|name, it| *it > now && name != helper);
        if is_leaving {
            self.leaving.insert(helper.clone(), now + LEAVING_TIME);
        }
    }

    /// Returns what this node knows of its reach.
    pub fn status(&self, now: Time) -> Status {
        match self.lost_since {
            None => Status::Reached,
            Some(_) if self.available(now).next().is_some() => Status::Stranded,
            Some(_) => Status::Down,
        }
    }

    /// Returns a node that can serve requests in the place of this one, while it is stranded: one that
    /// does not stop if there is any, then one of the same data centre. Requests that cross the close of
    /// a connection have to be asked elsewhere.
    pub fn helper(&self, rng: &mut impl Rng, now: Time) -> Option<&Helper> {
        self.lost_since?;
        let rank = |it: &Helper| (self.is_leaving(it, now), !it.is_near);
        let best = self.available(now).map(rank).min()?;
        self.available(now).filter(|it| rank(it) == best).choose(rng)
    }

    /// Returns for how long no server has answered.
    fn silence(&self, now: Time) -> Duration {
        now.since(self.answered.unwrap_or(self.started))
    }

    fn is_leaving(&self, helper: &Helper, now: Time) -> bool {
        self.leaving.get(&helper.name).is_some_and(|it| *it > now)
    }

    fn available(&self, now: Time) -> impl Iterator<Item = &Helper> {
        let is_avoided = move |it: &Helper| self.avoided.get(&it.name).is_some_and(|it| *it > now);
        self.helpers.iter().filter(move |it| !is_avoided(it))
    }
}
