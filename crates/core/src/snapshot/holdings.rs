use std::{collections::HashMap, time::Duration};

use crate::{name::Name, time::Time};

/// How long a server's word on what it holds stands.
const TTL: Duration = Duration::from_secs(60);

/// The versions of their index that servers hold, as they said last.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    held: HashMap<Name, Holding>,
}

#[derive(Clone, Debug)]
struct Holding {
    versions: Vec<u64>,
    heard: Time,
}

impl Holdings {
    /// Creates holdings of which nothing is known.
    pub fn new() -> Holdings {
        Holdings::default()
    }

    /// Takes a server's word.
    pub fn hear(&mut self, server: &Name, versions: Vec<u64>, now: Time) {
        match self.held.get_mut(server) {
            Some(holding) => *holding = Holding { versions, heard: now },
            None => drop(self.held.insert(server.clone(), Holding { versions, heard: now })),
        }
    }

    /// Returns whether a server holds a version, or nothing if that is not known.
    pub fn holds(&self, server: &Name, version: u64, now: Time) -> Option<bool> {
        let holding = self.held.get(server)?;
        (now.since(holding.heard) < TTL).then(|| holding.versions.contains(&version))
    }

    /// Forgets servers that are not wanted any more.
    pub fn retain(&mut self, is_wanted: impl Fn(&Name) -> bool) {
        self.held.retain(|name, _| is_wanted(name));
    }
}
