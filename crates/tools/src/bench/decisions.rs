use std::{collections::HashMap, sync::Arc, time::Duration};

use mimosabridge::{
    config::Class,
    gate::{Action, Completion, Condition, Gate, Rank, Report, Settings, Task},
    name::Name,
    outcome::{Outcome, Reply},
    query::{self, Answer, Attempt, Coverage, Ending, Plan, Run, Target},
    retry::Budget,
    route::Table,
    snapshot::{Chooser, Holdings},
    time::Time,
};
use rand::{SeedableRng, rngs::StdRng};
use serde_json::value::{RawValue, to_raw_value};

use super::{
    Sample,
    config::{gate_data_centres, large},
};

const NOW: Time = Time::from_millis(1_000);

/// Measures the decisions of an entry and of a gate.
pub fn run() {
    for servers in [300, 1_500, 4_500] {
        entry(servers);
    }
    gate();
    for hits in [30, 300, 3_000] {
        merge(hits);
    }
}

/// Measures the time that an entry needs for a query over all shards of a configuration.
fn entry(servers: usize) {
    let set = Arc::new(large(servers));
    let shards = set.shards.len();
    let rule = set.rules["rule"].clone();
    let snapshot = set.snapshots["snapshot-1"].clone();
    let mut table = Table::new(Name::from("dc-0"));
    table.set_gates(gate_data_centres(servers / 6));
    table.reconfigure(set.clone());
    let mut holdings = Holdings::new();
    for server in set.servers.keys() {
        holdings.record(server, vec![1], NOW);
    }
    let mut rng = StdRng::seed_from_u64(1);
    Sample::measure(format!("entry: plan {shards} shards"), 20, || {
        table.targets(&rule, &snapshot, &holdings, NOW, &mut rng)
    })
    .print();
    Sample::measure(format!("entry: choose the snapshot, {shards} shards"), 20, || {
        Chooser::new().choose(&set, &rule, &holdings, NOW).map(|it| it.version)
    })
    .print();
    let targets = table.targets(&rule, &snapshot, &holdings, NOW, &mut rng);
    run_query(&targets);
}

fn run_query(targets: &[Target]) {
    let shards = targets.len();
    let hits = hits(3);
    let mut budget = Budget::new(10, 50);
    Sample::measure(format!("entry: run {shards} shards to the ending"), 20, || {
        let mut run = Run::new(Plan {
            snapshot: 1,
            targets: targets.to_vec(),
            deadline: NOW + Duration::from_millis(100),
            idempotent: true,
            hedge_after: Duration::from_millis(20),
            canaries: 0,
            crashed: Vec::new(),
            may_restart: true,
        });
        let attempts: Vec<Attempt> = run.start(NOW).into_iter().filter_map(sent).collect();
        let mut last = Vec::new();
        for attempt in attempts {
            let reply = Reply { snapshot: 1, holds: vec![1], hits: hits.clone() };
            last = run.on_outcome(attempt.id, Outcome::Served(reply), NOW, &mut budget);
            // The driver calls it after every event.
            std::hint::black_box(run.next_timer());
        }
        last
    })
    .print();
}

fn sent(action: query::Action) -> Option<Attempt> {
    match action {
        query::Action::Send(attempt) => Some(attempt),
        _ => None,
    }
}

/// Measures the time that a gate with a few servers needs for a sub-request.
fn gate() {
    let set = Arc::new(large(48));
    let ranks: HashMap<_, _> = set.servers.keys().map(|it| (it.clone(), Rank::Primary)).collect();
    let mut gate = Gate::new(Settings::new());
    gate.reconfigure(set.clone(), ranks, NOW);
    let servers: Vec<_> = set.servers.keys().cloned().collect();
    let hits = hits(3);
    let mut id = 0;
    Sample::measure("gate: one sub-request, offer to end", 10_000, || {
        id += 1;
        let server = servers[id as usize % servers.len()].clone();
        let deadline = NOW + Duration::from_millis(100);
        let actions = gate.offer(Task { id, server, class: Class::Interactive, deadline }, NOW);
        assert!(matches!(actions[..], [Action::Send(_)]));
        let reply = Reply { snapshot: 1, holds: vec![1], hits: hits.clone() };
        let report = Report { boot: 1, condition: Condition::Warm, running: 1 };
        let completion = Completion { outcome: Outcome::Served(reply), report: Some(report) };
        gate.complete(id, completion, NOW + Duration::from_millis(5))
    })
    .print();
    Sample::measure("gate: tick, 48 idle servers", 1_000, || gate.tick(NOW)).print();
}

fn merge(count: usize) {
    let part = hits(3);
    let replies: Vec<_> = (0..count / 3)
        .map(|it| {
            let reply = Reply { snapshot: 1, holds: vec![1], hits: part.clone() };
            (Name::new(format!("shard-{it}")), reply)
        })
        .collect();
    Sample::measure(format!("entry: merge {count} hits"), 20, || {
        let total = replies.len();
        let coverage = Coverage { total, answered: total, missing: Vec::new() };
        let ending = Ending::Settled { replies: replies.clone(), coverage, may_have_run: true };
        let Ending::Settled { replies, coverage, may_have_run } = ending else { return None };
        Some(Answer::new(1, replies, coverage, may_have_run, false, 1_000))
    })
    .print();
}

fn hits(count: usize) -> Box<RawValue> {
    let hits: Vec<_> = (0..count)
        .map(|it| serde_json::json!({ "key": format!("key-{it}"), "score": 0.5, "document": {} }))
        .collect();
    to_raw_value(&hits).expect("hits are valid JSON")
}
