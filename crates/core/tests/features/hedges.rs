//! Second attempts for shards that are late.

use std::time::Duration;

use mimosabridge::{
    name::Name,
    outcome::{Outcome, Refusal, Reply},
    query::{Action, Ending, Plan, Route, Run, Target},
    retry::Budget,
    time::Time,
};
use serde_json::value::to_raw_value;

const START: Time = Time::from_millis(1);
const DEADLINE: Time = Time::from_millis(1_001);
const HEDGE: Duration = Duration::from_millis(40);

fn run(idempotent: bool) -> Run {
    let route = |it| Route { server: Name::new(format!("server-{it}")), gate: Name::from("gate") };
    let target = Target { shard: Name::from("shard"), routes: (0..3).map(route).collect() };
    Run::new(Plan {
        snapshot: 1,
        targets: vec![target],
        deadline: DEADLINE,
        idempotent,
        hedge_after: HEDGE,
        canaries: 0,
        crashed: Vec::new(),
        may_restart: true,
    })
}

fn servers(actions: &[Action]) -> Vec<&str> {
    actions.iter().filter_map(server).collect()
}

fn server(action: &Action) -> Option<&str> {
    match action {
        Action::Send(attempt) => Some(attempt.route.server.as_str()),
        _ => None,
    }
}

fn served() -> Outcome {
    let hits = to_raw_value(&serde_json::json!([])).expect("it is valid JSON");
    Outcome::Served(Reply { snapshot: 1, holds: vec![1], hits })
}

#[test]
fn after_delay() {
    let mut budget = Budget::new(10, 50);
    let mut run = run(true);
    run.start(START);
    assert_eq!(run.wake_at(), START + HEDGE);
    let early = run.on_time(START + HEDGE / 2, &mut budget);
    assert!(servers(&early).is_empty());
    let first = run.on_time(START + HEDGE, &mut budget);
    assert_eq!(servers(&first), ["server-1"]);
    assert_eq!(run.wake_at(), START + HEDGE * 2);
    let second = run.on_time(START + HEDGE * 2, &mut budget);
    assert_eq!(servers(&second), ["server-2"]);
    assert_eq!(run.wake_at(), DEADLINE, "no replica is left");
}

#[test]
fn first_wins() {
    let mut budget = Budget::new(10, 50);
    let mut run = run(true);
    run.start(START);
    run.on_time(START + HEDGE, &mut budget);
    let actions = run.on_outcome(1, served(), START + HEDGE, &mut budget);
    assert!(matches!(&actions[..], [Action::Cancel(0), Action::End(Ending::Settled { .. })]));
    assert!(run.on_outcome(0, served(), START + HEDGE, &mut budget).is_empty());
    assert_eq!(run.wake_at(), DEADLINE, "an ended run asks for nothing");
}

#[test]
fn budget_denies() {
    let mut budget = Budget::new(10, 2);
    assert!(budget.spend_retry());
    let mut run = run(true);
    run.start(START);
    let denied = run.on_time(START + HEDGE, &mut budget);
    assert!(servers(&denied).is_empty(), "the last token is kept for what is lost");
    assert_eq!(run.wake_at(), START + HEDGE * 2, "it is asked for again later");
    let refused = Outcome::Refused(Refusal::Shed);
    let retry = run.on_outcome(0, refused, START + HEDGE, &mut budget);
    assert_eq!(servers(&retry), ["server-1"]);
}

#[test]
fn never_twice() {
    let mut budget = Budget::new(10, 50);
    let mut run = run(false);
    run.start(START);
    assert_eq!(run.wake_at(), DEADLINE);
    let actions = run.on_time(START + HEDGE * 5, &mut budget);
    assert!(servers(&actions).is_empty(), "the request is not idempotent");
}
