use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{DataCentre, Intake, Kind, Reference, Rule, Server, Service, Shard, Snapshot};
use crate::name::Name;

/// The content of a configuration: every object by kind and name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Set {
    /// Data centres by name.
    pub data_centres: BTreeMap<Name, DataCentre>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Servers by name.
    pub servers: BTreeMap<Name, Server>,
    /// Shards by name.
    pub shards: BTreeMap<Name, Shard>,
    /// Snapshots by name.
    pub snapshots: BTreeMap<Name, Snapshot>,
    /// Rules by name.
    pub rules: BTreeMap<Name, Rule>,
}

impl Set {
    /// Returns whether a data centre is known and receives new work.
    pub fn is_open(&self, data_centre: &Name) -> bool {
        self.data_centres.get(data_centre).is_some_and(|it| it.intake == Intake::Open)
    }

    /// Returns the published snapshots of an index, newest first.
    pub fn snapshots_of(&self, index: &Name) -> Vec<&Snapshot> {
        let mut snapshots: Vec<_> =
            self.snapshots.values().filter(|it| it.index == *index).collect();
        snapshots.sort_by_key(|it| std::cmp::Reverse(it.version));
        snapshots
    }

    /// Returns whether the set holds an object.
    pub fn contains(&self, kind: Kind, name: &Name) -> bool {
        match kind {
            Kind::DataCentre => self.data_centres.contains_key(name),
            Kind::Service => self.services.contains_key(name),
            Kind::Server => self.servers.contains_key(name),
            Kind::Shard => self.shards.contains_key(name),
            Kind::Snapshot => self.snapshots.contains_key(name),
            Kind::Rule => self.rules.contains_key(name),
        }
    }

    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.data_centres.len()
            + self.services.len()
            + self.servers.len()
            + self.shards.len()
            + self.snapshots.len()
            + self.rules.len()
    }

    /// Returns whether the set holds no object.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(super) fn put(&mut self, other: Set) {
        self.data_centres.extend(other.data_centres);
        self.services.extend(other.services);
        self.servers.extend(other.servers);
        self.shards.extend(other.shards);
        self.snapshots.extend(other.snapshots);
        self.rules.extend(other.rules);
    }

    pub(super) fn remove(&mut self, kind: Kind, name: &Name) {
        match kind {
            Kind::DataCentre => drop(self.data_centres.remove(name)),
            Kind::Service => drop(self.services.remove(name)),
            Kind::Server => drop(self.servers.remove(name)),
            Kind::Shard => drop(self.shards.remove(name)),
            Kind::Snapshot => drop(self.snapshots.remove(name)),
            Kind::Rule => drop(self.rules.remove(name)),
        }
    }

    /// Returns the objects that are not in `old` or have other content there.
    pub(super) fn changed_since(&self, old: &Set) -> Set {
        Set {
            data_centres: changed_entries(&self.data_centres, &old.data_centres),
            services: changed_entries(&self.services, &old.services),
            servers: changed_entries(&self.servers, &old.servers),
            shards: changed_entries(&self.shards, &old.shards),
            snapshots: changed_entries(&self.snapshots, &old.snapshots),
            rules: changed_entries(&self.rules, &old.rules),
        }
    }

    /// Returns references to the objects of `old` that are not in this set.
    pub(super) fn removed_since(&self, old: &Set) -> Vec<Reference> {
        old.references().into_iter().filter(|it| !self.contains(it.kind, &it.name)).collect()
    }

    fn references(&self) -> Vec<Reference> {
        let mut references = Vec::with_capacity(self.len());
        let mut extend = |kind: Kind, names: Vec<&Name>| {
            references.extend(names.into_iter().map(|it| Reference { kind, name: it.clone() }));
        };
        extend(Kind::DataCentre, self.data_centres.keys().collect());
        extend(Kind::Service, self.services.keys().collect());
        extend(Kind::Server, self.servers.keys().collect());
        extend(Kind::Shard, self.shards.keys().collect());
        extend(Kind::Snapshot, self.snapshots.keys().collect());
        extend(Kind::Rule, self.rules.keys().collect());
        references
    }
}

fn changed_entries<T: Clone + PartialEq>(
    new: &BTreeMap<Name, T>,
    old: &BTreeMap<Name, T>,
) -> BTreeMap<Name, T> {
    let changed = new.iter().filter(|(name, object)| old.get(*name) != Some(*object));
    changed.map(|(name, object)| (name.clone(), object.clone())).collect()
}
