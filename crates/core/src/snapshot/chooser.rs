use std::{collections::HashMap, time::Duration};

use super::Holdings;
use crate::{
    config::{Rule, Set, Shard, Snapshot},
    name::Name,
    time::Time,
};

/// How long a choice stands before it is made anew.
const STANDS: Duration = Duration::from_millis(200);

/// The part of the shards, in hundredths, that must be widely served.
const WIDE_PERCENT: usize = 99;

/// Chooses the version of an index that queries are answered from.
///
/// The newest version wins whose shards are widely served: more than half of the replicas whose
/// holdings are known hold it. While nothing is known the oldest version is chosen, since a
/// roll-out starts from it; the replies then show whether a newer one is held.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    choices: HashMap<Name, (Time, u64)>,
}

impl Chooser {
    /// Creates a chooser without choices.
    pub fn new() -> Chooser {
        Chooser::default()
    }

    /// Forgets the choices, because the configuration has changed.
    pub fn reset(&mut self) {
        self.choices.clear();
    }

    /// Returns the snapshot for the queries of a rule, or nothing if its index has none.
    pub fn choose<'a>(
        &mut self,
        set: &'a Set,
        rule: &Rule,
        holdings: &Holdings,
        now: Time,
    ) -> Option<&'a Snapshot> {
        let snapshots = set.snapshots_of(&rule.index);
        let made = self.choices.get(&rule.name).filter(|it| now.since(it.0) < STANDS);
        if let Some((_, version)) = made
            && let Some(snapshot) = snapshots.iter().find(|it| it.version == *version)
        {
            return Some(snapshot);
        }
        let is_wide = |it: &&&Snapshot| is_widely_served(set, rule, it, holdings, now);
        let chosen = snapshots.iter().find(is_wide).or(snapshots.last()).copied()?;
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
    let mut wide = 0;
    for shard in shards.filter(|it| rule.services.contains(&it.service)) {
        total += 1;
        if has_majority(shard, snapshot.version, holdings, now) {
            wide += 1;
        }
    }
    wide * 100 >= total * WIDE_PERCENT
}

fn has_majority(shard: &Shard, version: u64, holdings: &Holdings, now: Time) -> bool {
    let known: Vec<bool> =
        shard.replicas.iter().filter_map(|it| holdings.holds(it, version, now)).collect();
    let holding = known.iter().filter(|it| **it).count();
    holding * 2 > known.len()
}
