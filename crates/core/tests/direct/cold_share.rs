//! The rate limit of a cold server, which all nodes share.

use std::time::Duration;

use mimosabridge::{
    balance::Purpose,
    directory::Entry,
    feed::{Event, Fact, Position, Snapshot, Update},
    name::Name,
    plan::Target,
    time::Time,
};
use rstest::rstest;

use crate::fixture::{Node, at, entry, rule, service};

fn nodes(count: u32, rate: f64) -> Vec<Node> {
    let cold = Entry { cold: Duration::from_secs(30), ..entry(1, "one", "a") };
    let rules = || vec![rule("one", Target::One(Name::new("one")))];
    let make = |_| {
        let mut node = Node::new(rules(), vec![service("one", rate)], vec![cold.clone()]);
        node.balancer.set_nodes(count);
        node
    };
    (0..count).map(make).collect()
}

/// Sends as many requests as the limit allows for three seconds. Returns the time of each in
/// milliseconds.
fn saturate(nodes: &mut [Node]) -> Vec<u64> {
    let mut sent = Vec::new();
    for milli in 0..3_000 {
        for node in &mut *nodes {
            let (plan, rule) = (node.plan.clone(), node.rule("one"));
            let name = Name::new("one");
            let first = Purpose::First;
            let picked = node.balancer.pick(&name, &rule, &plan, &[], first, at(milli));
            let Some(server) = picked else { continue };
            node.balancer.on_sent(&server.id, &rule, at(milli));
            let observation = mimosabridge::balance::Observation::Served;
            let id = &server.id;
            node.balancer.on_end(id, &rule, at(milli), observation, Duration::ZERO, at(milli));
            sent.push(milli);
        }
    }
    sent
}

#[test]
fn limit_holds() {
    let sent = saturate(&mut nodes(9, 20.0));
    let most =
        (0..2_000).map(|from| sent.iter().filter(move |it| (from..from + 1_000).contains(*it)));
    let most = most.map(Iterator::count).max().unwrap_or(0);
    assert!(most > 0 && most as f64 <= 20.0 * 1.5 + 5.0, "{most} requests in one second");
}

/// Guards against a cold server that counts as warm because a list, or the full update of a peer, says that it is cold.
#[rstest]
#[case::list(|node: &mut Node, snapshot, now| {
    node.mirror.replace(snapshot, &mut node.balancer, now)
})]
#[case::peer(|node: &mut Node, snapshot, now| {
    let update = Update::All(snapshot);
    node.mirror.apply(Position::new(0, 10), update, &mut node.balancer, now)
})]
fn listed_cold(#[case] apply: fn(&mut Node, Snapshot, Time) -> Vec<Event>) {
    let rules = vec![rule("one", Target::One(Name::new("one")))];
    let warm = entry(1, "one", "a");
    let mut node = Node::new(rules, vec![service("one", 4.0)], vec![warm.clone()]);
    let cold = Entry { cold: Duration::from_secs(3), ..warm };
    let list = |revision| {
        let facts = vec![Fact::Server(cold.clone())];
        Snapshot { position: Position::new(0, revision), facts }
    };
    let is_cold = |node: &Node, millis| {
        node.balancer.server(&cold.id).expect("the server is known").is_cold(at(millis))
    };
    apply(&mut node, list(20), at(100));
    assert!(is_cold(&node, 3_000) && !is_cold(&node, 3_200));
    apply(&mut node, list(30), at(2_000));
    assert!(!is_cold(&node, 3_200), "it was written once, and says nothing of the time since");
}

/// Guards against a cold server that gets its share twice because its entry is gone for a moment.
#[test]
fn overwritten_entry() {
    let mut node = nodes(1, 20.0).remove(0);
    let before = saturate(std::slice::from_mut(&mut node)).len();
    let cold = Entry { cold: Duration::from_secs(20), ..entry(1, "one", "a") };
    node.extend(11, vec![Fact::Gone(cold.id.clone())], at(2_999));
    node.extend(12, vec![Fact::Server(cold.clone())], at(2_999));
    let (plan, rule, name) = (node.plan.clone(), node.rule("one"), Name::new("one"));
    let picked = node.balancer.pick(&name, &rule, &plan, &[], Purpose::First, at(2_999));
    assert!(before > 0 && picked.is_none(), "the share of this second is used up");
}

/// Guards against requests under way that count for ever because the entry of their server was gone when they ended.
#[test]
fn ended_without_entry() {
    let mut node = nodes(1, 20.0).remove(0);
    let (rule, id) = (node.rule("one"), Name::new("i-1"));
    node.balancer.on_sent(&id, &rule, at(0));
    node.extend(11, vec![Fact::Gone(id.clone())], at(10));
    let observation = mimosabridge::balance::Observation::Served;
    node.balancer.on_end(&id, &rule, at(0), observation, Duration::ZERO, at(20));
    node.extend(12, vec![Fact::Server(entry(1, "one", "a"))], at(30));
    assert_eq!(node.balancer.server(&id).expect("the server is known").running(), 0);
}

#[test]
fn share_below_one() {
    assert!(saturate(&mut nodes(20, 1.0)).is_empty(), "less than one request for each node");
}

#[test]
fn warm_again() {
    let mut node = nodes(9, 20.0).remove(0);
    let (plan, rule) = (node.plan.clone(), node.rule("one"));
    let name = Name::new("one");
    let mut count = |from: u64| {
        let mut sent = 0;
        for milli in from..from + 100 {
            let first = Purpose::First;
            if let Some(server) = node.balancer.pick(&name, &rule, &plan, &[], first, at(milli)) {
                node.balancer.on_sent(&server.id, &rule, at(milli));
                let observation = mimosabridge::balance::Observation::Served;
                let id = &server.id;
                node.balancer.on_end(id, &rule, at(milli), observation, Duration::ZERO, at(milli));
                sent += 1;
            }
        }
        sent
    };
    assert!(count(1_000) < 10);
    assert_eq!(count(31_000), 100, "the rate of a warm server is not limited");
}

#[test]
fn cold_again() {
    let warm = entry(1, "one", "a");
    let rules = vec![rule("one", Target::One(Name::new("one")))];
    let mut node = Node::new(rules, vec![service("one", 20.0)], vec![warm.clone()]);
    let is_cold = |node: &Node, milli| {
        node.balancer.server(&warm.id).expect("the server is known").is_cold(at(milli))
    };
    assert!(!is_cold(&node, 1));
    let cold = Entry { cold: Duration::from_secs(3), ..warm.clone() };
    node.extend(11, vec![Fact::Server(cold)], at(10));
    assert!(is_cold(&node, 11), "a server may turn cold without a restart");
}
