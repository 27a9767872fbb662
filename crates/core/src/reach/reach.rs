use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use rand::{Rng, seq::IteratorRandom};

use super::Helper;
use crate::{name::Name, time::Time};

/// This node may have lost the servers if none has answered for this time. It is longer than servers
/// pause, and than most requests take.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// This node has lost the servers if this many of them have not answered in that time.
const MIN_SERVERS: usize = 3;

/// How long a node that could not help is left alone.
const HELPER_BACKOFF: Duration = Duration::from_secs(1);

/// How long this node's view of servers is not told to others after the last answer of one: a node
/// that is being cut off sees all of them fail.
const MAX_REPORT_SILENCE: Duration = Duration::from_millis(250);

/// Whether this node reaches the servers.
///
/// That no server answers shows a cut only if other nodes are answered: else the servers are down.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    answered: Time,
    /// The servers that have not answered since.
    failed: HashSet<Name>,
    helpers: Vec<Helper>,
    /// Until when nodes that could not help are left alone.
    avoided: HashMap<Name, Time>,
    lost_since: Option<Time>,
}

/// What this node knows of its reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Servers answer, or nothing shows that they do not.
    Reached,
    /// No server answers this node or any other that it knows of.
    Down,
    /// No server answers this node, and others are answered.
    Stranded,
}

impl Reach {
    /// Creates the reach of a node that has sent no request.
    pub fn new(now: Time) -> Reach {
        Reach { answered: now, ..Reach::default() }
    }

    /// Records an answer of a server, also one to a health check. Returns for how long no server had
    /// answered, if this node had lost them.
    pub fn on_answer(&mut self, now: Time) -> Option<Duration> {
        self.answered = now;
        self.failed.clear();
        self.lost_since.take().map(|it| now.since(it))
    }

    /// Records that a server did not answer. Returns whether this node has lost the servers with it.
    pub fn on_failure(&mut self, server: &Name, now: Time) -> bool {
        if !self.failed.contains(server) {
            self.failed.insert(server.clone());
        }
        let is_silent = now.since(self.answered) >= MIN_SILENCE;
        if self.lost_since.is_some() || !is_silent || self.failed.len() < MIN_SERVERS {
            return false;
        }
        self.lost_since = Some(self.answered);
        true
    }

    /// Returns when a server last answered, unless this node has lost them.
    pub fn answered(&self) -> Option<Time> {
        self.lost_since.is_none().then_some(self.answered)
    }

    /// Returns the number of servers that have not answered since.
    pub fn failed(&self) -> usize {
        self.failed.len()
    }

    /// Returns whether what this node observes of servers shows something about them, not about the
    /// network between.
    pub fn is_witness(&self, now: Time) -> bool {
        self.failed.len() < MIN_SERVERS || now.since(self.answered) < MAX_REPORT_SILENCE
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

    /// Returns what this node knows of its reach.
    pub fn status(&self, now: Time) -> Status {
        match self.lost_since {
            None => Status::Reached,
            Some(_) if self.available(now).next().is_some() => Status::Stranded,
            Some(_) => Status::Down,
        }
    }

    /// Returns a node that can serve requests in the place of this one, while it is stranded: one of
    /// the same data centre if there is any.
    pub fn helper(&self, rng: &mut impl Rng, now: Time) -> Option<&Helper> {
        self.lost_since?;
        let near = self.available(now).filter(|it| it.is_near).choose(rng);
        near.or_else(|| self.available(now).choose(rng))
    }

    fn available(&self, now: Time) -> impl Iterator<Item = &Helper> {
        let is_avoided = move |it: &Helper| self.avoided.get(&it.name).is_some_and(|it| *it > now);
        self.helpers.iter().filter(move |it| !is_avoided(it))
    }
}
