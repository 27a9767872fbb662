//! New content is tried on one shard before it goes to the others.

use std::time::Duration;

use mimosabridge::{
    name::Name,
    outcome::{Failure, Outcome, Reply},
    query::{Action, Ending, Plan, Route, Run, Target},
    retry::Budget,
    time::Time,
};
use serde_json::value::to_raw_value;

const SHARDS: usize = 20;
const START: Time = Time::from_millis(1);
const HEDGE: Duration = Duration::from_millis(40);

fn plan(canaries: usize, crashed: Vec<Name>) -> Plan {
    let route = |shard, replica| Route {
        server: Name::new(format!("server-{shard}-{replica}")),
        gate: Name::from("gate"),
    };
    let target = |shard| Target {
        shard: Name::new(format!("shard-{shard}")),
        routes: (0..3).map(|replica| route(shard, replica)).collect(),
    };
    Plan {
        snapshot: 1,
        targets: (0..SHARDS).map(target).collect(),
        deadline: Time::from_millis(1_000),
        idempotent: true,
        hedge_after: HEDGE,
        canaries,
        crashed,
        may_restart: true,
    }
}

fn sends(actions: &[Action]) -> Vec<u32> {
    let send = |it: &Action| match it {
        Action::Send(attempt) => Some(attempt.id),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn served() -> Outcome {
    let hits = to_raw_value(&serde_json::json!([])).expect("it is valid JSON");
    Outcome::Served(Reply { snapshot: 1, holds: vec![1], hits })
}

fn crashed() -> Outcome {
    Outcome::Failed(Failure::Crashed)
}

#[test]
fn reply_releases() {
    let mut budget = Budget::new(10, 50);
    let mut run = Run::new(plan(1, Vec::new()));
    let first = sends(&run.start(START));
    assert_eq!(first.len(), 1);
    let rest = run.on_outcome(first[0], served(), START, &mut budget);
    assert_eq!(sends(&rest).len(), SHARDS - 1);
}

#[test]
fn timer_releases() {
    let mut budget = Budget::new(10, 50);
    let mut run = Run::new(plan(1, Vec::new()));
    run.start(START);
    assert_eq!(run.next_timer(), START + HEDGE);
    let hedge = run.on_timer(START + HEDGE, &mut budget);
    assert_eq!(sends(&hedge).len(), 1, "the canary is hedged first");
    run.on_timer(START + HEDGE * 2, &mut budget);
    let actions = run.on_timer(START + HEDGE * 3, &mut budget);
    assert_eq!(
        sends(&actions).len(),
        SHARDS - 1,
        "a slow canary delays the other shards for a limited time"
    );
}

#[test]
fn poison_contained() {
    let mut budget = Budget::new(10, 50);
    let mut run = Run::new(plan(1, Vec::new()));
    let mut next = sends(&run.start(START));
    let mut asked = next.len();
    loop {
        let actions = run.on_outcome(next[0], crashed(), START, &mut budget);
        next = sends(&actions);
        asked += next.len();
        if let Some(Action::End(ending)) = actions.last() {
            assert!(matches!(ending, Ending::Quarantine { servers } if servers.len() == 2));
            break;
        }
    }
    assert_eq!(asked, 2, "two servers crash, not one for each shard");
}

#[test]
fn known_crash() {
    let mut budget = Budget::new(10, 50);
    let mut run = Run::new(plan(0, vec![Name::from("server-3-0")]));
    let first = sends(&run.start(START));
    assert_eq!(first.len(), 1, "one crash on record makes the content suspect");
    let actions = run.on_outcome(first[0], crashed(), START, &mut budget);
    assert!(matches!(&actions[..], [Action::End(Ending::Quarantine { .. })]));
}

#[test]
fn crash_cleared() {
    let mut budget = Budget::new(10, 50);
    let mut run = Run::new(plan(1, Vec::new()));
    let first = sends(&run.start(START));
    let retry = sends(&run.on_outcome(first[0], crashed(), START, &mut budget));
    assert_eq!(
        retry.len(),
        1,
        "no other shard is asked before a server has run the content without a crash"
    );
    let rest = run.on_outcome(retry[0], served(), START, &mut budget);
    assert_eq!(sends(&rest).len(), SHARDS - 1);
}
