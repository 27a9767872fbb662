use std::collections::HashMap;

use crate::{
    config::{Rule, Set, Snapshot},
    name::Name,
};

/// The shards of a snapshot that a rule covers, with the indexes of their replicas in a table.
#[derive(Clone, Debug)]
pub struct Scope {
    /// The shards, each with the indexes of its replicas.
    pub shards: Vec<(Name, Vec<usize>)>,
}

impl Scope {
    /// Selects the shards of a snapshot that a rule covers. `indexes` holds the index of each
    /// server.
    pub fn new(
        set: &Set,
        rule: &Rule,
        snapshot: &Snapshot,
        indexes: &HashMap<Name, usize>,
    ) -> Scope {
        let shards = snapshot.shards.iter().filter_map(|it| set.shards.get(it));
        let covered = shards.filter(|it| rule.services.contains(&it.service));
        let shards = covered
            .map(|it| {
                let replicas = it.replicas.iter().filter_map(|name| indexes.get(name).copied());
                (it.name.clone(), replicas.collect())
            })
            .collect();
        Scope { shards }
    }
}
