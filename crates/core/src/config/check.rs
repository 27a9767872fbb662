use super::{Finding, Kind, Location, Set, document::Lines};
use crate::name::Name;

/// Checks a complete configuration and returns every finding in the order of their locations.
///
/// `lines` holds the lines of the objects that come from a document. It may be empty.
pub fn check(set: &Set, lines: &Lines) -> Vec<Finding> {
    let mut checker = Checker { set, lines, findings: Vec::new() };
    checker.check_services();
    checker.check_servers();
    checker.check_shards();
    checker.check_snapshots();
    checker.check_rules();
    checker.findings.sort();
    checker.findings
}

struct Checker<'a> {
    set: &'a Set,
    lines: &'a Lines,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn check_services(&mut self) {
        for (name, service) in &self.set.services {
            let at = (Kind::Service, name);
            self.check_positive(at, "slots", u64::from(service.slots));
            self.check_positive(at, "connections", u64::from(service.connections));
            self.check_positive(at, "cold_slots", u64::from(service.cold_slots));
            if service.cold_slots > service.slots {
                let message = format!(
                    "{} is more than the {} slots of a warm server; lower it",
                    service.cold_slots, service.slots
                );
                self.add(at, "cold_slots", message);
            }
        }
    }

    fn check_servers(&mut self) {
        let mut addresses = std::collections::BTreeMap::new();
        for (name, server) in &self.set.servers {
            let at = (Kind::Server, name);
            self.check_reference(at, "service", Kind::Service, &server.service);
            self.check_reference(at, "data_centre", Kind::DataCentre, &server.data_centre);
            if let Some(other) = addresses.insert(server.address, name) {
                let message =
                    format!("{} is also the address of server \"{other}\"", server.address);
                self.add(at, "address", message);
            }
        }
    }

    fn check_shards(&mut self) {
        for (name, shard) in &self.set.shards {
            let at = (Kind::Shard, name);
            self.check_reference(at, "service", Kind::Service, &shard.service);
            if shard.replicas.is_empty() {
                self.add(at, "replicas", "no server holds the shard; name at least one".into());
            }
            self.check_distinct(at, "replicas", &shard.replicas);
            for replica in &shard.replicas {
                self.check_reference(at, "replicas", Kind::Server, replica);
                let Some(server) = self.set.servers.get(replica) else { continue };
                if server.service != shard.service {
                    let message = format!(
                        "server \"{replica}\" belongs to service \"{}\", the shard to \"{}\"",
                        server.service, shard.service
                    );
                    self.add(at, "replicas", message);
                }
            }
        }
    }

    fn check_snapshots(&mut self) {
        let mut versions = std::collections::BTreeMap::new();
        for (name, snapshot) in &self.set.snapshots {
            let at = (Kind::Snapshot, name);
            if snapshot.shards.is_empty() {
                self.add(at, "shards", "the snapshot has no shard; name at least one".into());
            }
            self.check_distinct(at, "shards", &snapshot.shards);
            let version = (&snapshot.index, snapshot.version);
            if let Some(other) = versions.insert(version, name) {
                let message = format!(
                    "snapshot \"{other}\" already has version {} of index \"{}\"",
                    snapshot.version, snapshot.index
                );
                self.add(at, "version", message);
            }
            for shard in &snapshot.shards {
                self.check_reference(at, "shards", Kind::Shard, shard);
                self.check_same_index(at, shard, &snapshot.index);
            }
        }
    }

    fn check_same_index(&mut self, at: (Kind, &Name), shard: &Name, index: &Name) {
        let Some(shard) = self.set.shards.get(shard) else { return };
        let Some(service) = self.set.services.get(&shard.service) else { return };
        if service.index != *index {
            let message = format!(
                "shard \"{}\" belongs to index \"{}\" through service \"{}\", not to \"{index}\"",
                shard.name, service.index, service.name
            );
            self.add(at, "shards", message);
        }
    }

    fn check_rules(&mut self) {
        for (name, rule) in &self.set.rules {
            let at = (Kind::Rule, name);
            self.check_positive(at, "deadline_ms", rule.deadline_ms);
            self.check_positive(at, "max_hits", rule.max_hits as u64);
            if !(rule.hedge_quantile > 0.0 && rule.hedge_quantile < 1.0) {
                let message = format!("{} is not between 0 and 1", rule.hedge_quantile);
                self.add(at, "hedge_quantile", message);
            }
            if rule.services.is_empty() {
                self.add(at, "services", "the rule has no service; name at least one".into());
            }
            self.check_distinct(at, "services", &rule.services);
            for service in &rule.services {
                self.check_reference(at, "services", Kind::Service, service);
                let Some(found) = self.set.services.get(service) else { continue };
                if found.index != rule.index {
                    let message = format!(
                        "service \"{service}\" belongs to index \"{}\", the rule to \"{}\"",
                        found.index, rule.index
                    );
                    self.add(at, "services", message);
                }
            }
            if self.set.snapshots_of(&rule.index).is_empty() {
                let message = format!("index \"{}\" has no snapshot; add one", rule.index);
                self.add(at, "index", message);
            }
        }
    }

    fn check_reference(&mut self, at: (Kind, &Name), field: &'static str, kind: Kind, name: &Name) {
        if self.set.contains(kind, name) {
            return;
        }
        self.add(at, field, format!("there is no {kind} \"{name}\"; add it or correct the name"));
    }

    fn check_distinct(&mut self, at: (Kind, &Name), field: &'static str, names: &[Name]) {
        let mut seen = std::collections::BTreeSet::new();
        for name in names {
            if !seen.insert(name) {
                self.add(at, field, format!("\"{name}\" is listed twice; remove one"));
            }
        }
    }

    fn check_positive(&mut self, at: (Kind, &Name), field: &'static str, value: u64) {
        if value == 0 {
            self.add(at, field, "must be at least 1".into());
        }
    }

    fn add(&mut self, (kind, name): (Kind, &Name), field: &'static str, message: String) {
        let line = self.lines.get(&(kind, name.clone())).copied();
        let location = Location { line, kind, name: name.clone(), field };
        self.findings.push(Finding { location, message });
    }
}
