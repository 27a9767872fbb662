//! Hedges: further attempts at shards that are slow to answer.

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
    assert_eq!(run.next_timer(), START + HEDGE);
    let early = run.on_timer(START + HEDGE / 2, &mut budget);
    assert!(servers(&early).is_empty());
    let first = run.on_timer(START + HEDGE, &mut budget);
    assert_eq!(servers(&first), ["server-1"]);
    assert_eq!(run.next_timer(), START + HEDGE * 2);
    let second = run.on_timer(START + HEDGE * 2, &mut budget);
    assert_eq!(servers(&second), ["server-2"]);
    assert_eq!(run.next_timer(), DEADLINE, "no replica is left");
}

#[test]
fn first_reply_wins() {
    let mut budget = Budget::new(10, 50);
    let mut run = run(true);
    run.start(START);
    run.on_timer(START + HEDGE, &mut budget);
    let actions = run.on_outcome(1, served(), START + HEDGE, &mut budget);
    assert!(matches!(&actions[..], [Action::Cancel(0), Action::End(Ending::Settled { .. })]));
    assert!(run.on_outcome(0, served(), START + HEDGE, &mut budget).is_empty());
    assert_eq!(run.next_timer(), DEADLINE, "a run that has ended sends no more hedges");
}

#[test]
fn denied_by_budget() {
    let mut budget = Budget::new(10, 2);
    assert!(budget.spend_retry());
    let mut run = run(true);
    run.start(START);
    let denied = run.on_timer(START + HEDGE, &mut budget);
    assert!(servers(&denied).is_empty(), "the last token is reserved for retries");
    assert_eq!(run.next_timer(), START + HEDGE * 2, "the hedge is tried again after another delay");
    let refused = Outcome::Refused(Refusal::Shed);
    let retry = run.on_outcome(0, refused, START + HEDGE, &mut budget);
    assert_eq!(servers(&retry), ["server-1"]);
}

#[test]
fn once_not_hedged() {
    let mut budget = Budget::new(10, 50);
    let mut run = run(false);
    run.start(START);
    assert_eq!(run.next_timer(), DEADLINE);
    let actions = run.on_timer(START + HEDGE * 5, &mut budget);
    assert!(servers(&actions).is_empty(), "the request is not idempotent");
}
