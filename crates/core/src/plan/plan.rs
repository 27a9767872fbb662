use std::{collections::HashMap, sync::Arc};

use super::{Limits, Rule, Service, Spec};
use crate::name::Name;

/// A version of the configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    version: u64,
    limits: Limits,
    /// The rules of each host, sorted by the length of their prefixes, longest first.
    hosts: HashMap<Name, Vec<Arc<Rule>>>,
    services: Arc<HashMap<Name, Service>>,
}

impl Plan {
    /// Creates the plan of a published version.
    pub fn new(spec: Spec) -> Plan {
        let Spec { version, limits, rules, services } = spec;
        let mut hosts: HashMap<Name, Vec<Arc<Rule>>> = HashMap::new();
        for rule in rules {
            hosts.entry(rule.host.clone()).or_default().push(Arc::new(rule));
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|it| std::cmp::Reverse(it.prefix.as_str().len()));
        }
        let services = services.into_iter().map(|it| (it.name.clone(), it)).collect();
        Plan { version, limits, hosts, services: Arc::new(services) }
    }

    /// Returns the plan without its rules, for a request that has found its own. A version may have
    /// thousands of rules, and requests outlive many versions.
    pub fn without_rules(&self) -> Plan {
        let services = self.services.clone();
        Plan { version: self.version, limits: self.limits, hosts: HashMap::new(), services }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests of callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the rule of `host` with the longest prefix of `path`. A port in the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Rule>> {
        let host = host.split_once(':').map_or(host, |it| it.0).to_ascii_lowercase();
        let rules = self.hosts.get(host.as_str())?;
        rules.iter().find(|it| path.starts_with(it.prefix.as_str()))
    }

    /// Returns the names of all rules.
    pub fn rules(&self) -> impl Iterator<Item = &Name> {
        self.hosts.values().flatten().map(|it| &it.name)
    }

    /// Returns the settings of a service.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.get(name)
    }
}
