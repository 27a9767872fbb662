//! The order in which replicas are tried.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
};

use mimosabridge::{
    config::Intake,
    name::Name,
    outcome::{Hint, Trust},
    query::Target,
    route::Table,
    snapshot::Holdings,
    time::Time,
};
use rand::{SeedableRng, rngs::StdRng};

use crate::simulation;

const NOW: Time = Time::from_millis(1_000);

fn gates() -> BTreeMap<Name, Name> {
    [("ga1", "a"), ("ga2", "a"), ("gb1", "b")]
        .map(|(gate, data_centre)| (Name::from(gate), Name::from(data_centre)))
        .into()
}

fn table() -> Table {
    let mut table = Table::new(Name::from("a"));
    table.reconfigure(Arc::new(simulation::config()));
    table.set_gates(gates());
    table
}

fn targets(table: &mut Table, holdings: &Holdings, seed: u64) -> Vec<Target> {
    let set = simulation::config();
    let mut rng = StdRng::seed_from_u64(seed);
    table.targets(&set.rules["rule"], &set.snapshots["s7"], holdings, NOW, &mut rng)
}

/// Returns how often each server is the first choice for its shard in a hundred queries.
fn first_choices(table: &mut Table, holdings: &Holdings) -> BTreeMap<Name, usize> {
    let mut counts = BTreeMap::new();
    for seed in 0..100 {
        for target in targets(table, holdings, seed) {
            *counts.entry(target.routes[0].server.clone()).or_default() += 1;
        }
    }
    counts
}

fn hint(trust: Trust, limit: u32, running: u32) -> Hint {
    Hint { trust, limit, running, queued: 0, usual_micros: 5_000 }
}

#[test]
fn near_first() {
    let counts = first_choices(&mut table(), &Holdings::new());
    assert!(["a1", "a2", "a3"].iter().all(|it| counts[*it] > 95), "{counts:?}");
}

#[test]
fn local_gates() {
    for target in targets(&mut table(), &Holdings::new(), 1) {
        for route in target.routes {
            let data_centre = &route.server.as_str()[..1];
            assert_eq!(
                &route.gate.as_str()[1..2],
                data_centre,
                "a gate in the server's data centre"
            );
        }
    }
}

#[test]
fn closed_excluded() {
    let mut set = simulation::config();
    set.data_centres.get_mut("a").expect("the fixture has it").intake = Intake::Closed;
    let mut table = table();
    table.reconfigure(Arc::new(set));
    for target in targets(&mut table, &Holdings::new(), 1) {
        assert_eq!(target.routes.len(), 1);
        assert!(target.routes[0].server.as_str().starts_with('b'));
    }
}

#[test]
fn leaving_excluded() {
    let mut table = table();
    table.set_leaving(HashSet::from([Name::from("a2")]));
    let targets = targets(&mut table, &Holdings::new(), 1);
    let servers: Vec<_> = targets[1].routes.iter().map(|it| it.server.as_str()).collect();
    assert_eq!(servers, ["b2"]);
}

#[test]
fn loaded_later() {
    let mut table = table();
    table.on_hint(&Name::from("a1"), hint(Trust::Warm, 3, 12), NOW);
    assert!(!first_choices(&mut table, &Holdings::new()).contains_key("a1"));
}

#[test]
fn unusable_last() {
    let mut table = table();
    table.on_hint(&Name::from("a1"), hint(Trust::Down, 1, 0), NOW);
    let mut holdings = Holdings::new();
    holdings.record(&Name::from("a2"), vec![6], NOW);
    let counts = first_choices(&mut table, &holdings);
    let names: Vec<_> = counts.keys().map(Name::as_str).collect();
    assert_eq!(names, ["a3", "b1", "b2"], "a1 is down and a2 lacks the version");
    let routes = &targets(&mut table, &holdings, 1)[0].routes;
    let last = routes.iter().position(|it| it.server.as_str() == "a1");
    assert_eq!(last, Some(1), "an unusable replica is still better than none");
}

#[test]
fn fallback_last() {
    let routes = &targets(&mut table(), &Holdings::new(), 1)[0].routes;
    let servers: Vec<_> = routes.iter().map(|it| it.server.as_str()).collect();
    assert_eq!(servers, ["a1", "b1", "a1"], "data centre b has no second gate");
    assert_ne!(routes[0].gate, routes[2].gate);
}

#[test]
fn cold_explored() {
    let mut table = table();
    table.on_hint(&Name::from("b1"), hint(Trust::Cold, 1, 0), NOW);
    let explored = first_choices(&mut table, &Holdings::new())["b1"];
    assert!(
        (1..=20).contains(&explored),
        "expected about one query in sixteen, got {explored} in a hundred"
    );
}

#[test]
fn unreachable_gate() {
    let mut table = table();
    let server = Name::from("a1");
    let first = table.gate_of(&server, NOW).expect("there are gates").clone();
    table.on_gate_unreachable(&first, NOW);
    let second = table.gate_of(&server, NOW).expect("there are gates").clone();
    assert_ne!(first, second);
    let later = NOW + std::time::Duration::from_secs(1);
    assert_eq!(table.gate_of(&server, later), Some(&first), "the first gate is tried again");
    table.on_gate_unreachable(&second, NOW);
    assert_eq!(
        table.gate_of(&server, NOW),
        Some(&first),
        "if all gates are in backoff, the first is used"
    );
}

#[test]
fn remote_gate() {
    let mut table = table();
    table.set_gates(BTreeMap::from([(Name::from("gb1"), Name::from("b"))]));
    assert_eq!(table.gate_of(&Name::from("a1"), NOW), Some(&Name::from("gb1")));
}
