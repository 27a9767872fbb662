//! What a node keeps of a configuration that is large or changes often.

use std::sync::Arc;

use mimosabridge::{
    balance::Balancer,
    feed::{Event, Fact, Mirror, Position, Progress, Snapshot, Update},
    plan::{Plan, Rule, Spec, Target},
};

use crate::fixture::{at, rule, service, settings};

/// The versions that follow the first one.
const VERSIONS: u64 = 40;

fn on(revision: u64) -> Position {
    Position::new(1, revision)
}

fn rules(version: u64, count: usize) -> Vec<Rule> {
    let target = || Target::One("one".into());
    (0..count).map(|it| rule(&format!("r-{version}-{it}"), target())).collect()
}

fn plan(version: u64, rules: Vec<Rule>) -> Fact {
    Fact::Plan(Spec { version, rules, ..Spec::default() })
}

fn delta(revision: u64, fact: Fact) -> Snapshot {
    Snapshot { position: on(revision), facts: vec![fact] }
}

/// Returns a mirror with a configuration of 100 rules and a position of 10, and its balancer.
fn configured() -> (Mirror, Balancer) {
    let (mut mirror, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    mirror.replace(delta(10, plan(1, rules(0, 100))), &mut balancer, at(0));
    (mirror, balancer)
}

/// Publishes [`VERSIONS`] versions one by one.
fn change(mirror: &mut Mirror, balancer: &mut Balancer) {
    for step in 1..=VERSIONS {
        let fact = plan(1 + step, rules(step, 100));
        let events = mirror.extend(on(9 + step), delta(10 + step, fact), balancer, at(step));
        assert_eq!(events, [Event::Plan(1 + step)]);
    }
}

/// Guards against versions of a large configuration that are kept for followers: storms of changes filled the memory of
/// all nodes at once.
#[test]
fn old_versions_dropped() {
    let (mut mirror, mut balancer) = configured();
    let before = format!("{mirror:?}").len();
    change(&mut mirror, &mut balancer);
    let after = format!("{mirror:?}").len();
    assert!(after < before * 5 / 4, "the state has grown from {before} to {after} characters");
}

#[test]
fn latest_version_sent() {
    let (mut mirror, mut balancer) = configured();
    change(&mut mirror, &mut balancer);
    let known = Progress { position: on(20), version: 11, ..Progress::default() };
    let update = mirror.update_since(&known, &balancer);
    let newest = plan(1 + VERSIONS, rules(VERSIONS, 100));
    assert_eq!(update, Some(Update::Since(delta(10 + VERSIONS, newest))));
}

/// A version that is given out again after a restore of the store has the number that followers know already.
#[test]
fn repeated_version_sent() {
    let (mut mirror, mut balancer) = configured();
    let restored = Position::new(2, 5);
    let list = Snapshot { position: restored, facts: Vec::new() };
    mirror.replace(list, &mut balancer, at(1));
    let again = plan(1, rules(7, 100));
    let position = Position::new(2, 6);
    mirror.extend(
        restored,
        Snapshot { position, facts: vec![again.clone()] },
        &mut balancer,
        at(2),
    );
    let known = Progress { position: restored, version: 1, ..Progress::default() };
    let update = mirror.update_since(&known, &balancer);
    assert_eq!(update, Some(Update::Since(Snapshot { position, facts: vec![again] })));
}

/// Guards against old versions that live as long as a request: with a change a second and requests of 15 s, a node held
/// 15 configurations.
#[test]
fn rules_not_held() {
    let spec =
        Spec { rules: rules(1, 100), services: vec![service("one", 0.0)], ..Spec::default() };
    let plan = Plan::new(spec);
    let rule =
        plan.find("search.example", "/r-1-7/x").map(Arc::downgrade).expect("the rule exists");
    let held = plan.without_rules();
    drop(plan);
    assert!(rule.upgrade().is_none(), "a request needs its own rule only");
    assert_eq!(held.service(&"one".into()).map(|it| it.connections), Some(46));
}
