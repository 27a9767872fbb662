use std::{net::SocketAddr, time::Duration};

use mimosabridge::{
    config::{Class, DataCentre, Intake, Rule, Server, Service, Set, Shard, Snapshot},
    name::Name,
};

use super::{Group, Workload};
use crate::server::Spec;

/// The version of the index that a site starts with.
const VERSION: u64 = 1;

/// A site: its data centres and the services that run there.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The name of the site, also that of its index.
    pub name: &'static str,
    /// The names of the data centres.
    pub data_centres: Vec<&'static str>,
    /// The services by kind.
    pub groups: Vec<Group>,
}

impl Site {
    /// Returns a site by its name: `riego`, `consorzio`, or `wide-` with a number of shards.
    pub fn by_name(name: &str) -> Option<Site> {
        if let Some(shards) = name.strip_prefix("wide-") {
            return shards.parse().ok().map(Site::wide);
        }
        match name {
            "riego" => Some(Site::riego()),
            "consorzio" => Some(Site::consorzio()),
            _ => None,
        }
    }

    /// Returns a site for benchmarks: one data centre, and one rule that covers `shards` shards, each
    /// on its own server.
    pub fn wide(shards: usize) -> Site {
        let group = Group {
            rule: "wide",
            services: 1,
            servers: shards,
            replicas: 1,
            slots: 64,
            connections: 300,
            connect_cost: Duration::from_millis(1),
            service_time: Duration::from_millis(2),
            class: Class::Interactive,
            deadline: Duration::from_millis(2_000),
            rate: 1.0,
            cancelled: 0.0,
        };
        Site { name: "wide", data_centres: vec!["a"], groups: vec![group] }
    }

    /// Returns the model of Riego in Lima.
    pub fn riego() -> Site {
        let planning = Group {
            rule: "route-planning",
            services: 10,
            servers: 3,
            replicas: 3,
            slots: 6,
            connections: 45,
            connect_cost: Duration::from_millis(6),
            service_time: Duration::from_millis(12),
            class: Class::Planning,
            deadline: Duration::from_millis(800),
            rate: 60.0,
            cancelled: 0.3,
        };
        let inventory = Group {
            rule: "inventory",
            services: 15,
            service_time: Duration::from_millis(5),
            class: Class::Interactive,
            deadline: Duration::from_millis(300),
            rate: 60.0,
            cancelled: 0.7,
            ..planning.clone()
        };
        let billing = Group {
            rule: "billing",
            services: 1,
            servers: 35,
            slots: 3,
            connections: 110,
            connect_cost: Duration::from_millis(1),
            service_time: Duration::from_millis(4),
            class: Class::Batch,
            deadline: Duration::from_millis(2_000),
            rate: 20.0,
            cancelled: 0.0,
            ..planning.clone()
        };
        let portal = Group {
            rule: "portal",
            servers: 17,
            class: Class::Interactive,
            deadline: Duration::from_millis(300),
            rate: 60.0,
            cancelled: 0.5,
            ..billing.clone()
        };
        Site {
            name: "riego",
            data_centres: vec!["lima-a", "lima-b", "lima-c"],
            groups: vec![planning, inventory, billing, portal],
        }
    }

    /// Returns the model of the consortium in Sicily.
    pub fn consorzio() -> Site {
        let dispatch = Group {
            rule: "dispatch",
            services: 10,
            servers: 3,
            replicas: 3,
            slots: 3,
            connections: 30,
            connect_cost: Duration::from_millis(6),
            service_time: Duration::from_millis(5),
            class: Class::Interactive,
            deadline: Duration::from_millis(300),
            rate: 60.0,
            cancelled: 0.5,
        };
        let audit = Group {
            rule: "fleet-audit",
            services: 15,
            service_time: Duration::from_millis(10),
            class: Class::Batch,
            deadline: Duration::from_millis(2_000),
            rate: 20.0,
            cancelled: 0.1,
            ..dispatch.clone()
        };
        let handhelds = Group {
            rule: "handhelds",
            services: 1,
            servers: 18,
            connections: 40,
            connect_cost: Duration::from_millis(1),
            service_time: Duration::from_millis(4),
            rate: 80.0,
            cancelled: 0.7,
            ..dispatch.clone()
        };
        let members = Group {
            rule: "member-billing",
            servers: 9,
            class: Class::Planning,
            rate: 20.0,
            cancelled: 0.0,
            ..handhelds.clone()
        };
        Site {
            name: "consorzio",
            data_centres: vec!["palermo", "catania", "trapani", "comiso"],
            groups: vec![dispatch, audit, handhelds, members],
        }
    }

    /// Returns the workload of each rule, with every rate multiplied by `scale`.
    pub fn workloads(&self, scale: f64) -> Vec<Workload> {
        let workload = |it: &Group| Workload {
            rule: it.rule.to_owned(),
            rate: it.rate * scale,
            cancelled: it.cancelled,
            deadline: it.deadline,
        };
        self.groups.iter().map(workload).collect()
    }

    /// Returns every server with its configuration and the parameters of its model. The servers listen on consecutive
    /// ports from `first`.
    pub fn servers(&self, first: SocketAddr) -> Vec<(Server, Spec)> {
        let mut servers = Vec::new();
        for group in &self.groups {
            for service in 0..group.services {
                for number in 0..group.servers {
                    let mut address = first;
                    address.set_port(first.port() + servers.len() as u16);
                    let index = (service + number) % self.data_centres.len();
                    let server = Server {
                        name: Name::new(format!("{}-{service}-{number}", group.rule)),
                        service: service_name(group, service),
                        data_centre: Name::from(self.data_centres[index]),
                        address,
                    };
                    let spec = group.spec(servers.len() as u64 + 1);
                    servers.push((server, spec));
                }
            }
        }
        servers
    }

    /// Returns the configuration of the site.
    pub fn config(&self, first: SocketAddr) -> Set {
        let mut set = Set::default();
        for name in &self.data_centres {
            let name = Name::from(*name);
            let region = Name::from(self.name);
            let data_centre = DataCentre { name: name.clone(), region, intake: Intake::Open };
            set.data_centres.insert(name, data_centre);
        }
        for (server, _) in self.servers(first) {
            set.servers.insert(server.name.clone(), server);
        }
        for group in &self.groups {
            self.add_group(group, &mut set);
        }
        let name = Name::new(format!("{}-v{VERSION}", self.name));
        let snapshot = Snapshot {
            name: name.clone(),
            index: Name::from(self.name),
            version: VERSION,
            shards: set.shards.keys().cloned().collect(),
        };
        set.snapshots.insert(name, snapshot);
        set
    }

    fn add_group(&self, group: &Group, set: &mut Set) {
        for number in 0..group.services {
            let service = Service {
                name: service_name(group, number),
                index: Name::from(self.name),
                slots: group.slots,
                connections: group.connections,
                connect_cost_ms: group.connect_cost.as_millis() as u64,
                cold_slots: 1,
            };
            for shard in group.shards(number) {
                set.shards.insert(shard.name.clone(), shard);
            }
            set.services.insert(service.name.clone(), service);
        }
        let rule = Rule {
            name: Name::from(group.rule),
            index: Name::from(self.name),
            services: (0..group.services).map(|it| service_name(group, it)).collect(),
            class: group.class,
            deadline_ms: group.deadline.as_millis() as u64,
            hedge_quantile: 0.95,
            canary_over: 16,
            deduplicate: false,
            max_hits: 1_000,
        };
        set.rules.insert(rule.name.clone(), rule);
    }
}

impl Group {
    fn spec(&self, seed: u64) -> Spec {
        Spec {
            slots: self.slots,
            cold_slots: 1,
            connections: self.connections,
            connect_cost: self.connect_cost,
            service_time: self.service_time,
            holds: vec![VERSION],
            seed,
            ..Spec::new()
        }
    }

    /// Returns the shards of a service. Servers left over by the division become additional replicas
    /// of the first shards.
    fn shards(&self, service: usize) -> Vec<Shard> {
        let count = self.servers / self.replicas;
        let server = |it: usize| Name::new(format!("{}-{service}-{it}", self.rule));
        let shard = |number: usize| Shard {
            name: Name::new(format!("{}-{service}-shard-{number}", self.rule)),
            service: service_name(self, service),
            replicas: (0..self.servers).filter(|it| it % count == number).map(server).collect(),
        };
        (0..count).map(shard).collect()
    }
}

fn service_name(group: &Group, number: usize) -> Name {
    Name::new(format!("{}-{number}", group.rule))
}
