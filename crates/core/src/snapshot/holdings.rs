use std::{collections::HashMap, time::Duration};

use crate::{name::Name, time::Time};

/// How long a server's report of the versions that it holds is used.
const REPORT_TTL: Duration = Duration::from_secs(60);

/// The versions of the index that each server holds, as it last reported them.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    held: HashMap<Name, Holding>,
}

#[derive(Clone, Debug)]
struct Holding {
    versions: Vec<u64>,
    reported: Time,
}

impl Holdings {
    /// Creates holdings without any reports.
    pub fn new() -> Holdings {
        Holdings::default()
    }

    /// Records the versions that a server reports to hold.
    pub fn record(&mut self, server: &Name, versions: Vec<u64>, now: Time) {
        match self.held.get_mut(server) {
            Some(holding) => *holding = Holding { versions, reported: now },
            None => drop(self.held.insert(server.clone(), Holding { versions, reported: now })),
        }
    }

    /// Returns whether a server holds a version, or nothing if it has not reported recently.
    pub fn holds(&self, server: &Name, version: u64, now: Time) -> Option<bool> {
        let holding = self.held.get(server)?;
        (now.since(holding.reported) < REPORT_TTL).then(|| holding.versions.contains(&version))
    }

    /// Removes the reports of all servers for which `is_wanted` is false.
    pub fn retain(&mut self, is_wanted: impl Fn(&Name) -> bool) {
        self.held.retain(|name, _| is_wanted(name));
    }
}
