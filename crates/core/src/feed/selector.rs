use std::{collections::HashMap, time::Duration};

use crate::{
    member::{Record, Roster, State},
    name::Name,
    time::Time,
};

/// How long a node that did not answer is not asked again: about as long as the nodes need to
/// detect whether it is dead.
const PEER_BACKOFF: Duration = Duration::from_secs(3);

/// How long the store may be unavailable to the followed node before this node reads it itself.
const FAILOVER_DELAY: Duration = Duration::from_millis(1_500);

/// What each rank adds to the delay, so that the nodes of a data centre try one after another.
const FAILOVER_STEP: Duration = Duration::from_millis(400);

/// How long a node reads in place of those that can't read the store.
const FAILOVER_TIME: Duration = Duration::from_secs(5);

/// Where a node gets the published facts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Upstream {
    /// The store.
    Store,
    /// A node that ranks before this one.
    Peer(Record),
}

/// Selects whether a node reads the store itself, or which peer it follows.
///
/// A watch of the store ends with each change, so that the number of calls grows with nodes times
/// changes, and each call is billed. Therefore only one node of a data centre reads the store. All
/// nodes rank the live nodes of a data centre alike, except for membership updates in transit: the
/// first reads, and the others follow the first that answers them. A node that gets no answer from
/// any node before it reads the store itself.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    /// Nodes that did not answer, and until when they are not asked again.
    backoffs: HashMap<Name, Time>,
    /// Since when the store has been unavailable to the followed node.
    unavailable_since: Option<Time>,
    /// Until when this node reads in place of others.
    failover_until: Time,
}

impl Selector {
    /// Creates the selector of a node that has followed no peer yet.
    pub fn new() -> Selector {
        Selector::default()
    }

    /// Returns where this node gets the published facts.
    pub fn upstream(&mut self, roster: &Roster, own: &Record, now: Time) -> Upstream {
        let is_near = |it: &&Record| it.data_centre == own.data_centre;
        let before: Vec<_> = roster
            .records()
            .filter(is_near)
            .take_while(|it| it.name != own.name)
            .filter(|it| it.state == State::Alive)
            .collect();
        if self.is_failover(before.len(), now) {
            return Upstream::Store;
        }
        self.backoffs.retain(|_, until| now < *until);
        let first = before.into_iter().find(|it| !self.backoffs.contains_key(&it.name));
        first.map_or(Upstream::Store, |it| Upstream::Peer(it.clone()))
    }

    /// Records that the followed node answered, and whether the store is unavailable to it.
    pub fn on_answer(&mut self, is_store_unavailable: bool, now: Time) {
        self.unavailable_since =
            is_store_unavailable.then(|| self.unavailable_since.unwrap_or(now));
    }

    /// Records that a node did not answer.
    pub fn on_failure(&mut self, name: &Name, now: Time) {
        self.backoffs.insert(name.clone(), now + PEER_BACKOFF);
        self.unavailable_since = None;
    }

    /// Returns whether this node reads in place of others, which it may begin to do now.
    fn is_failover(&mut self, rank: usize, now: Time) -> bool {
        let delay = FAILOVER_DELAY + FAILOVER_STEP * rank as u32;
        if self.unavailable_since.is_some_and(|it| now.since(it) >= delay) {
            self.unavailable_since = None;
            self.failover_until = now + FAILOVER_TIME;
        }
        now < self.failover_until
    }
}
