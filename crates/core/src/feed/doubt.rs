//! Which removals may be lapses, and which nodes to ask before such a server is kept in use.

use std::{collections::HashSet, net::SocketAddr};

use rand::{Rng, seq::IteratorRandom};

use super::{Fact, Snapshot};
use crate::{
    directory::Directory,
    member::{Record, Roster, State},
    time::Time,
};

/// How many nodes are asked beside the readers, which may all have lost the store.
const OTHER_WITNESSES: usize = 2;

/// Returns whether changes that this node has read remove an entry that may have lapsed.
pub fn has_doubtful_removal(directory: &Directory, changes: &Snapshot, now: Time) -> bool {
    let is_doubtful = |it: &Fact| matches!(it, Fact::Gone(id) if directory.is_lapse(id, now));
    changes.facts.iter().any(is_doubtful)
}

/// Returns whether a list that this node has read lacks an entry that may have lapsed.
pub fn has_doubtful_gap(directory: &Directory, list: &Snapshot, now: Time) -> bool {
    let server = |it: &Fact| match it {
        Fact::Server(entry) => Some(entry.id.clone()),
        _ => None,
    };
    let listed: HashSet<_> = list.facts.iter().filter_map(server).collect();
    let mut missing = directory.entries().filter(|it| !listed.contains(&it.id));
    missing.any(|it| directory.is_lapse(&it.id, now))
}

/// Returns the RPC addresses of nodes that can tell whether the store was available while this one could not read
/// it: the readers of all data centres, and some others.
pub fn witnesses(roster: &Roster, own: &Record, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let mut data_centres = HashSet::new();
    let alive = roster.records().filter(|it| it.state == State::Alive);
    let (readers, others): (Vec<_>, Vec<_>) =
        alive.partition(|it| data_centres.insert(&it.data_centre));
    let others = others.into_iter().filter(|it| it.name != own.name);
    let mut chosen = others.sample(rng, OTHER_WITNESSES);
    chosen.extend(readers.into_iter().filter(|it| it.name != own.name));
    chosen.into_iter().map(|it| it.rpc).collect()
}
