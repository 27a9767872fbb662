//! Reports about servers that nodes send one another, and the effect of these reports.

use std::time::Duration;

use mimosabridge::{
    balance::{Balancer, Observation, Purpose, Sample, Tally},
    feed::{Position, Progress},
    member::{Action, Incarnation, News, Peer, Record},
    name::Name,
    plan::{Rule, Target},
    time::Time,
};

use rand::{SeedableRng, rngs::SmallRng};

use crate::fixture::{Node, at, entry, record, rule, service};

fn node() -> (Node, Rule) {
    let rule = rule("r", Target::One(Name::new("one")));
    let entries = vec![entry(1, "one", "a"), entry(2, "one", "a")];
    let node = Node::new(vec![rule.clone()], vec![service("one", 0.0)], entries);
    (node, rule)
}

fn sample(answers: u16, slow: u16, failures: u16) -> Vec<Sample> {
    vec![Sample { server: Name::new("i-1").key(), tally: Tally { answers, slow, failures } }]
}

fn slowness(balancer: &Balancer, now: Time) -> f64 {
    balancer.server(&Name::new("i-1")).expect("the server is known").slowness(now)
}

/// Delivers a report every 400 ms in a span. Returns how often the server newly counted as slow or
/// failing.
fn report(balancer: &mut Balancer, tally: (u16, u16, u16), millis: std::ops::Range<u64>) -> usize {
    let times = millis.step_by(400);
    times.map(|it| balancer.on_report(&sample(tally.0, tally.1, tally.2), at(it)).len()).sum()
}

#[test]
fn slow_for_all() {
    let (mut node, rule) = node();
    assert_eq!(report(&mut node.balancer, (5, 5, 0), 0..2_800), 1, "newly slow once");
    assert!(slowness(&node.balancer, at(2_800)) > 3.0);
    let plan = node.plan.clone();
    let service = Name::new("one");
    for millis in 2_800..2_820 {
        let picked = node.balancer.pick(&service, &rule, &plan, &[], Purpose::First, at(millis));
        assert_eq!(picked.expect("a server is left").id, Name::new("i-2"));
    }
}

/// A server that pauses for 250 ms answers the requests that arrive meanwhile late, but must not
/// count as slow.
#[test]
fn pause_tolerated() {
    let (mut node, _) = node();
    for millis in (0..4_000).step_by(400) {
        let slow = if millis == 400 { 6 } else { 0 };
        node.balancer.on_report(&sample(9, slow, 0), at(millis));
        assert!(slowness(&node.balancer, at(millis)) < 1.1, "at {millis} ms");
    }
    assert!(slowness(&node.balancer, at(4_000)) < 1.1);
}

#[test]
fn recovery_reported() {
    let (mut node, _) = node();
    report(&mut node.balancer, (5, 5, 0), 0..2_800);
    report(&mut node.balancer, (5, 0, 0), 2_800..5_000);
    assert!(slowness(&node.balancer, at(5_000)) < 1.1, "good answers end the slow state");
}

#[test]
fn slowness_expires() {
    let (mut node, _) = node();
    report(&mut node.balancer, (5, 5, 0), 0..2_800);
    assert!(slowness(&node.balancer, at(8_000)) < 1.1, "the server is tried again");
}

#[test]
fn failures_for_all() {
    let (mut node, _) = node();
    report(&mut node.balancer, (4, 0, 6), 0..400);
    let server = node.balancer.server(&Name::new("i-1")).expect("the server is known");
    assert!((server.failures(at(400)) - 0.6).abs() < 0.01);
    assert!(server.failures(at(8_000)) < 0.01);
}

#[test]
fn healthy_not_reported() {
    let (mut node, rule) = node();
    let id = Name::new("i-1");
    let serve = |node: &mut Node, took: u64, from: u64| {
        node.balancer.on_sent(&id, &rule, at(from));
        let now = at(from + took);
        node.balancer.on_end(&id, &rule, at(from), Observation::Served, Duration::ZERO, now);
    };
    serve(&mut node, 30, 0);
    assert!(node.balancer.report(at(100)).is_empty());
    serve(&mut node, 500, 200);
    let reported = node.balancer.report(at(800));
    assert_eq!(reported, sample(1, 1, 0));
    node.balancer.on_report(&reported, at(800));
    serve(&mut node, 30, 900);
    assert_eq!(
        node.balancer.report(at(1_000)),
        sample(1, 0, 0),
        "good answers of a suspect are reported"
    );
}

#[test]
fn unknown_server_ignored() {
    let (mut node, _) = node();
    let unknown = Sample { server: 7, tally: Tally { answers: 9, slow: 9, failures: 9 } };
    assert!(node.balancer.on_report(&[unknown], at(0)).is_empty());
}

/// Returns the record of a node with as many bytes as one of a real site.
fn longest(name: &str, data_centre: &str) -> Record {
    Record {
        name: Name::new(name),
        peer: ([10, 200, 100, 250], 65_000).into(),
        rpc: ([10, 200, 100, 250], 65_001).into(),
        incarnation: Incarnation { boot: u64::MAX, refutation: 99 },
        ..record(0, data_centre)
    }
}

fn peer(others: Vec<Record>) -> Peer {
    let own = longest("edge-a-data-centre-1", "a-data-centre-1");
    let mut peer = Peer::new(own, Default::default(), at(0));
    let position = Position::new(u64::MAX, u64::MAX);
    peer.set_progress(Progress { position, urgent: position, version: u64::MAX });
    peer.on_roster(others, at(0));
    peer
}

/// A report that does not fit in a packet would not be sent at all.
#[test]
fn fullest_report_fits() {
    let tally = Tally { answers: 127, slow: 127, failures: 127 };
    let samples = (0..36).map(|it| Sample { server: u32::MAX - it, tally }).collect();
    let peer = peer(vec![longest("edge-a-data-centre-2", "a-data-centre-1")]);
    let actions = peer.push_nearby(News::Seen(samples), &mut SmallRng::seed_from_u64(1));
    let [Action::Send(_, packet)] = &actions[..] else { panic!("not sent: {actions:?}") };
    assert!(packet.encode().len() <= 448, "{} bytes", packet.encode().len());
}

#[test]
fn report_recipients() {
    let near = (10..70).map(|it| longest(&format!("edge-{it}"), "a-data-centre-1"));
    let far = (70..90).map(|it| longest(&format!("edge-{it}"), "b"));
    let all = peer(near.chain(far.clone()).collect());
    let rng = &mut SmallRng::seed_from_u64(2);
    assert_eq!(
        all.push_nearby(News::Seen(sample(1, 1, 0)), rng).len(),
        24,
        "however many nodes are nearby"
    );
    let alone = peer(far.collect());
    assert_eq!(
        alone.push_nearby(News::Seen(sample(1, 1, 0)), rng).len(),
        8,
        "nodes elsewhere if none is nearby"
    );
}
