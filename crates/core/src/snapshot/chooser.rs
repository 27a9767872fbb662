use std::{collections::HashMap, time::Duration};

use super::Holdings;
use crate::{
    config::{Rule, Set, Shard, Snapshot},
    name::Name,
    time::Time,
};

/// How long a choice is reused before a new one is made.
const CHOICE_TTL: Duration = Duration::from_millis(200);

/// The percentage of the shards that must have a version on a majority of their replicas.
const MIN_MAJORITY_PERCENT: usize = 99;

/// Chooses the version of an index that queries are answered from.
///
/// It chooses the newest version that is widely served: in almost every shard, more than half of
/// the replicas with known holdings hold it. While nothing is known it chooses the oldest version,
/// since a roll-out starts from that one; the replies then report whether a newer one is held.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    choices: HashMap<Name, (Time, u64)>,
}

impl Chooser {
    /// Creates a chooser without earlier choices.
    pub fn new() -> Chooser {
        Chooser::default()
    }

    /// Drops all choices, because the configuration has changed.
    pub fn reset(&mut self) {
        self.choices.clear();
    }

    /// Returns the snapshot for the queries of a rule, or nothing if its index has no snapshot.
    pub fn choose<'a>(
        &mut self,
        set: &'a Set,
        rule: &Rule,
        holdings: &Holdings,
        now: Time,
    ) -> Option<&'a Snapshot> {
        let snapshots = set.snapshots_of(&rule.index);
        let cached = self.choices.get(&rule.name).filter(|it| now.since(it.0) < CHOICE_TTL);
        if let Some((_, version)) = cached
            && let Some(snapshot) = snapshots.iter().find(|it| it.version == *version)
        {
            return Some(snapshot);
        }
        let is_served = |it: &&&Snapshot| is_widely_served(set, rule, it, holdings, now);
        let chosen = snapshots.iter().find(is_served).or(snapshots.last()).copied()?;
        self.choices.insert(rule.name.clone(), (now, chosen.version));
        Some(chosen)
    }
}

fn is_widely_served(
    set: &Set,
    rule: &Rule,
    snapshot: &Snapshot,
    holdings: &Holdings,
    now: Time,
) -> bool {
    let shards = snapshot.shards.iter().filter_map(|it| set.shards.get(it));
    let mut total = 0;
    let mut with_majority = 0;
    for shard in shards.filter(|it| rule.services.contains(&it.service)) {
        total += 1;
        if has_majority(shard, snapshot.version, holdings, now) {
            with_majority += 1;
        }
    }
    with_majority * 100 >= total * MIN_MAJORITY_PERCENT
}

fn has_majority(shard: &Shard, version: u64, holdings: &Holdings, now: Time) -> bool {
    let known: Vec<bool> =
        shard.replicas.iter().filter_map(|it| holdings.holds(it, version, now)).collect();
    let holding = known.iter().filter(|it| **it).count();
    holding * 2 > known.len()
}
