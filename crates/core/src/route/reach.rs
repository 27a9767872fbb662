use std::collections::HashMap;

use crate::{
    config::{Rule, Set, Snapshot},
    name::Name,
};

/// The shards of a snapshot that a rule reaches, with the places of their replicas in a table.
#[derive(Clone, Debug)]
pub struct Reach {
    /// The shards.
    pub shards: Vec<(Name, Vec<usize>)>,
}

impl Reach {
    /// Finds the shards. `places` gives the place of each server.
    pub fn new(
        set: &Set,
        rule: &Rule,
        snapshot: &Snapshot,
        places: &HashMap<Name, usize>,
    ) -> Reach {
        let shards = snapshot.shards.iter().filter_map(|it| set.shards.get(it));
        let reached = shards.filter(|it| rule.services.contains(&it.service));
        let shards = reached
            .map(|it| {
                let replicas = it.replicas.iter().filter_map(|name| places.get(name).copied());
                (it.name.clone(), replicas.collect())
            })
            .collect();
        Reach { shards }
    }
}
