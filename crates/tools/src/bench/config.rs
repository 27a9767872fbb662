use std::{collections::BTreeMap, sync::Arc};

use mimosabridge::{
    config::{
        Bundle, Change, Class, DataCentre, Digest, Intake, Lines, Rule, Server, Service, Set,
        Shard, Snapshot, check,
    },
    name::Name,
    place::Block,
    route::Table,
};
use serde_json::json;

use super::{
    Sample,
    sample::{print, round},
};
use crate::usage::Usage;

const DATA_CENTRES: usize = 11;
const REGIONS: usize = 4;
const REPLICAS: usize = 3;
const SERVERS_PER_SERVICE: usize = 48;

/// Measures the time and memory that a node needs for a configuration of many servers.
pub fn run(servers: usize, gates: usize) {
    let empty = Usage::of_self().resident;
    let set = large(servers);
    let loaded = Usage::of_self().resident;
    let megabytes = |bytes: u64| round(bytes as f64 / 1e6);
    print(json!({ "name": "objects", "count": set.len() }));
    print(json!({ "name": "memory of one configuration, MB", "value": megabytes(loaded - empty) }));
    let bundle = Bundle::first(set.clone());
    let bytes: usize = bundle.parts().iter().map(String::len).sum();
    print(json!({ "name": "published bytes", "value": bytes, "parts": bundle.parts().len() }));
    let next = changed(&bundle);
    let change = Change::between(&bundle.set, &next.set);
    let wire = serde_json::to_string(&change).map_or(0, |it| it.len());
    print(json!({ "name": "bytes of one change", "value": wire }));
    Sample::measure("check", 1, || check(&set, &Lines::new())).print();
    Sample::measure("digest", 1, || Digest::of(&set)).print();
    Sample::measure("copy", 1, || set.clone()).print();
    Sample::measure("difference", 1, || Change::between(&bundle.set, &next.set)).print();
    Sample::measure("advance by one change", 1, || bundle.advance(next.head(), &change)).print();
    Sample::measure("blocks", 1, || Block::all(&set)).print();
    let shared = Arc::new(set);
    let mut table = Table::new(Name::from("dc-0"));
    table.set_gates(gate_data_centres(gates));
    Sample::measure("route table: new configuration", 1, || table.reconfigure(shared.clone()))
        .print();
    let mut fewer = gate_data_centres(gates);
    fewer.pop_first();
    let all = gate_data_centres(gates);
    let mut odd = false;
    Sample::measure("route table: a gate comes or goes", 1, || {
        odd = !odd;
        table.set_gates(if odd { fewer.clone() } else { all.clone() });
    })
    .print();
    let total = Usage::of_self().resident;
    print(
        json!({ "name": "memory with route table and copies, MB", "value": megabytes(total - empty) }),
    );
}

/// Returns a configuration in which one rule covers every service.
pub fn large(servers: usize) -> Set {
    let mut set = Set::default();
    for number in 0..DATA_CENTRES {
        let name = data_centre_name(number);
        let region = Name::new(format!("region-{}", number % REGIONS));
        let data_centre = DataCentre { name: name.clone(), region, intake: Intake::Open };
        set.data_centres.insert(name, data_centre);
    }
    let services = servers.div_ceil(SERVERS_PER_SERVICE);
    for number in 0..services {
        let name = Name::new(format!("service-{number}"));
        let service = Service {
            name: name.clone(),
            index: Name::from("index"),
            slots: 6,
            connections: 45,
            connect_cost_ms: 6,
            cold_slots: 1,
        };
        set.services.insert(name, service);
    }
    for number in 0..servers {
        let name = Name::new(format!("server-{number}"));
        let address = ([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 9_000);
        let server = Server {
            name: name.clone(),
            service: Name::new(format!("service-{}", number / SERVERS_PER_SERVICE)),
            data_centre: data_centre_name(number % DATA_CENTRES),
            address: address.into(),
        };
        set.servers.insert(name, server);
    }
    for number in 0..servers / REPLICAS {
        let first = number * REPLICAS;
        let name = Name::new(format!("shard-{number}"));
        let shard = Shard {
            name: name.clone(),
            service: Name::new(format!("service-{}", first / SERVERS_PER_SERVICE)),
            replicas: (first..first + REPLICAS)
                .map(|it| Name::new(format!("server-{it}")))
                .collect(),
        };
        set.shards.insert(name, shard);
    }
    let snapshot = Snapshot {
        name: Name::from("snapshot-1"),
        index: Name::from("index"),
        version: 1,
        shards: set.shards.keys().cloned().collect(),
    };
    set.snapshots.insert(snapshot.name.clone(), snapshot);
    let rule = Rule {
        name: Name::from("rule"),
        index: Name::from("index"),
        services: set.services.keys().cloned().collect(),
        class: Class::Interactive,
        deadline_ms: 100,
        hedge_quantile: 0.95,
        canary_over: 16,
        deduplicate: false,
        max_hits: 1_000,
    };
    set.rules.insert(rule.name.clone(), rule);
    set
}

/// Returns the data centres of gates, which are spread evenly.
pub fn gate_data_centres(gates: usize) -> BTreeMap<Name, Name> {
    (0..gates)
        .map(|it| (Name::new(format!("vm-{it}")), data_centre_name(it % DATA_CENTRES)))
        .collect()
}

fn data_centre_name(number: usize) -> Name {
    Name::new(format!("dc-{number}"))
}

fn changed(bundle: &Bundle) -> Bundle {
    let mut set = bundle.set.clone();
    if let Some(data_centre) = set.data_centres.values_mut().next() {
        data_centre.intake = Intake::Closed;
    }
    bundle.next(set)
}
