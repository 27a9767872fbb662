//! Choice of the server for a request.

use std::time::Duration;

use mimosabridge::{
    balance::{Observation, Purpose},
    directory::Entry,
    feed::Fact,
    name::Name,
    plan::{Share, Target},
};

use crate::fixture::{Node, at, entry, rule, service};

fn node(entries: Vec<Entry>) -> Node {
    let rules = vec![rule("one", Target::One(Name::new("one")))];
    Node::new(rules, vec![service("one", 0.0)], entries)
}

fn pick(node: &mut Node, tried: &[Name], milli: u64) -> Option<String> {
    let (plan, rule) = (node.plan.clone(), node.rule("one"));
    let name = Name::new("one");
    let picked = node.balancer.pick(&name, &rule, &plan, tried, Purpose::First, at(milli));
    picked.map(|it| it.id.as_str().to_owned())
}

fn observe(node: &mut Node, id: &str, observation: Observation, sent: u64, now: u64) {
    let rule = node.rule("one");
    let id = Name::new(id);
    node.balancer.on_sent(&id, &rule, at(sent));
    node.balancer.on_end(&id, &rule, at(sent), observation, Duration::from_secs(3), at(now));
}

fn near_and_far() -> Node {
    node(vec![entry(1, "one", "a"), entry(2, "one", "b"), entry(3, "one", "c")])
}

#[test]
fn near_first() {
    let mut node = near_and_far();
    for milli in 0..20 {
        assert_eq!(pick(&mut node, &[], milli).as_deref(), Some("i-1"));
    }
}

#[test]
fn slow_avoided() {
    let mut node = near_and_far();
    for call in 0..20 {
        observe(&mut node, "i-1", Observation::Served, call * 400, call * 400 + 300);
    }
    assert_ne!(pick(&mut node, &[], 7_910).as_deref(), Some("i-1"));
    assert_eq!(pick(&mut node, &[], 40_000).as_deref(), Some("i-1"), "tried again later");
}

/// Two pauses in a row during quick requests made a server count as slow, so that answers left out
/// its whole shard.
#[test]
fn pauses_tolerated() {
    let mut node = node(vec![entry(1, "one", "a")]);
    for call in 0..200 {
        observe(&mut node, "i-1", Observation::Served, call * 10, call * 10 + 5);
    }
    observe(&mut node, "i-1", Observation::Served, 2_000, 2_150);
    observe(&mut node, "i-1", Observation::Served, 2_001, 2_151);
    let (plan, rule) = (node.plan.clone(), node.rule("one"));
    let estimate = node.balancer.estimate(&Name::new("one"), &rule, &plan, at(2_152));
    let answer = estimate.expect("the server is known").answer;
    assert!(answer < Duration::from_millis(48), "{answer:?} after two pauses of 150 ms");
}

#[test]
fn stalled_avoided() {
    let mut node = near_and_far();
    let rule = node.rule("one");
    node.balancer.on_sent(&Name::new("i-1"), &rule, at(0));
    assert_ne!(pick(&mut node, &[], 180).as_deref(), Some("i-1"), "i-1 has an overdue request");
}

#[test]
fn shedding_avoided() {
    let mut node = near_and_far();
    for call in 0..10 {
        observe(&mut node, "i-1", Observation::Shed, call * 10, call * 10 + 1);
    }
    assert_ne!(pick(&mut node, &[], 101).as_deref(), Some("i-1"));
}

#[test]
fn unreachable_paused() {
    let mut node = node(vec![entry(1, "one", "a")]);
    observe(&mut node, "i-1", Observation::Unreachable, 0, 1);
    assert_eq!(pick(&mut node, &[], 2), None);
    let (plan, rule) = (node.plan.clone(), node.rule("one"));
    let estimate = node.balancer.estimate(&Name::new("one"), &rule, &plan, at(2));
    assert!(estimate.is_some_and(|it| it.is_down && it.answer > Duration::from_millis(50)));
    assert!(pick(&mut node, &[], 200).is_some(), "tried again after a pause");
}

#[test]
fn draining_and_closed() {
    let mut node = near_and_far();
    let draining = Entry { is_draining: true, ..entry(1, "one", "a") };
    node.extend(11, vec![Fact::Server(draining), Fact::Closed(Name::new("b"))], at(0));
    assert_eq!(pick(&mut node, &[], 1).as_deref(), Some("i-3"));
    assert_eq!(pick(&mut node, &[Name::new("i-3")], 1), None);
}

#[test]
fn connections_shared() {
    let mut node = node(vec![entry(1, "one", "a")]);
    node.balancer.set_nodes(9);
    let rule = node.rule("one");
    let mut sent = 0;
    while pick(&mut node, &[], 1).is_some() {
        node.balancer.on_sent(&Name::new("i-1"), &rule, at(1));
        sent += 1;
    }
    assert!(sent >= 1 && sent * 9 <= 46, "{sent} connections from each of nine nodes");
}

#[test]
fn split_by_weight() {
    let mut node = near_and_far();
    let share = |service: &str, weight| Share { service: Name::new(service), weight };
    let shares = [share("x", 0.7), share("y", 0.2), share("z", 0.1)];
    let name = Name::new("split");
    let mut count = |service: &str, rounds| {
        let hits = (0..rounds).filter(|_| {
            node.balancer.pick_service(&name, &shares).is_some_and(|it| it.as_str() == service)
        });
        hits.count()
    };
    assert_eq!(count("x", 100), 70);
    assert_eq!(count("y", 100), 20);
    assert_eq!(count("z", 100), 10);
}

/// When 91 nodes spread their requests over the three servers of a shard, they open more
/// connections than the servers accept.
#[test]
fn open_connection_first() {
    let mut node = node(vec![entry(1, "one", "a"), entry(2, "one", "a"), entry(3, "one", "a")]);
    observe(&mut node, "i-2", Observation::Served, 0, 33);
    for milli in (100..3_900).step_by(100) {
        assert_eq!(pick(&mut node, &[], milli).as_deref(), Some("i-2"), "at {milli} ms");
    }
    let later: std::collections::BTreeSet<_> =
        (4_100..4_200).filter_map(|it| pick(&mut node, &[], it)).collect();
    assert_eq!(later.len(), 3, "the connection is closed by then");
}

#[test]
fn connection_in_use() {
    let mut node = node(vec![entry(1, "one", "a"), entry(2, "one", "a")]);
    observe(&mut node, "i-1", Observation::Served, 0, 33);
    let rule = node.rule("one");
    node.balancer.on_sent(&Name::new("i-1"), &rule, at(100));
    assert_eq!(pick(&mut node, &[], 101).as_deref(), Some("i-2"), "both need a new connection");
}
