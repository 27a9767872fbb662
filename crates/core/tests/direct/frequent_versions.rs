//! What a node keeps of a configuration that is large or changes often.

use std::sync::Arc;

use mimosabridge::{
    balance::Balancer,
    feed::{Event, Fact, Mirror, Position, Progress, Snapshot, Update},
    plan::{Plan, Rule, Share, Spec, Target},
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

/// Guards against state of rules and services that a configuration no longer has: versions that add and remove rules ended
/// all nodes, as each rule that had had a request cost 23 KB for good.
#[test]
fn removed_rules_forgotten() {
    let (mut mirror, mut balancer) = configured();
    let mut sizes = Vec::new();
    for version in 2..8 {
        let names = ["one", &format!("service-{version}")].map(|it| service(it, 0.0));
        let spec =
            Spec { version, rules: rules(version, 50), services: names.into(), ..Spec::default() };
        let facts = vec![Fact::Plan(spec)];
        let position = on(9 + version);
        let now = at(version * 60_000);
        mirror.extend(on(8 + version), Snapshot { position, facts }, &mut balancer, now);
        let plan = mirror.plan().expect("a version is in force").clone();
        balancer.on_plan(&plan, now);
        for number in 0..50 {
            let path = format!("/r-{version}-{number}/x");
            let rule = plan.find("search.example", &path).expect("the rule exists");
            balancer.usual_latency(rule);
            let share = Share { service: "one".into(), weight: 1.0 };
            balancer.pick_service(&rule.name, &[share]);
            balancer.on_request(&format!("service-{version}").as_str().into(), now);
        }
        sizes.push(format!("{balancer:?}").len());
    }
    assert!(sizes[5] < sizes[0] * 5 / 4, "the state has {sizes:?} characters");
}

/// Guards against latencies that are kept for each of thousands of rules.
#[test]
fn latencies_bounded() {
    let (_, mut balancer) = configured();
    let rules = rules(1, 4_000);
    let size = |balancer: &mut Balancer, rules: &[Rule]| {
        for rule in rules {
            balancer.usual_latency(rule);
        }
        format!("{balancer:?}").len()
    };
    let few = size(&mut balancer, &rules[..1_024]);
    let many = size(&mut balancer, &rules);
    assert!(many < few * 5 / 4, "the state has grown from {few} to {many} characters");
}

/// Extra requests count although a version drops their service for a moment.
#[test]
fn spent_budget_remembered() {
    let (_, mut balancer) = configured();
    let name = "one".into();
    let spend = |balancer: &mut Balancer, millis| {
        (0..1_000).filter(|_| balancer.spend(&name, false, at(millis))).count()
    };
    assert!(spend(&mut balancer, 20_000) > 0);
    balancer.on_plan(&Plan::new(Spec::default()), at(21_000));
    assert_eq!(spend(&mut balancer, 22_000), 0);
}
