//! What nodes tell one another of servers, and what they believe of it.

use std::time::Duration;

use mimosabridge::{
    balance::{Balancer, Purpose, Sample, Seen, Tally},
    config::{Digest, Stamp},
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

/// Takes reports of several nodes every 400 ms for some time.
fn report(balancer: &mut Balancer, tally: (u16, u16, u16), millis: std::ops::Range<u64>) -> usize {
    let times = millis.step_by(400);
    times.map(|it| balancer.on_report(&sample(tally.0, tally.1, tally.2), at(it)).len()).sum()
}

#[test]
fn slow_for_all() {
    let (mut node, rule) = node();
    assert_eq!(report(&mut node.balancer, (5, 5, 0), 0..2_800), 1, "told once");
    assert!(slowness(&node.balancer, at(2_800)) > 3.0);
    let plan = node.plan.clone();
    let service = Name::new("one");
    for millis in 2_800..2_820 {
        let picked = node.balancer.pick(&service, &rule, &plan, &[], Purpose::First, at(millis));
        assert_eq!(picked.expect("a server is left").id, Name::new("i-2"));
    }
}

/// A server that pauses for 250 ms answers late to those who asked meanwhile.
#[test]
fn pause_is_no_slowness() {
    let (mut node, _) = node();
    for millis in (0..4_000).step_by(400) {
        let slow = if millis == 400 { 6 } else { 0 };
        node.balancer.on_report(&sample(9, slow, 0), at(millis));
        assert!(slowness(&node.balancer, at(millis)) < 1.1, "at {millis} ms");
    }
    assert!(slowness(&node.balancer, at(4_000)) < 1.1);
}

#[test]
fn recovery_told() {
    let (mut node, _) = node();
    report(&mut node.balancer, (5, 5, 0), 0..2_800);
    report(&mut node.balancer, (5, 0, 0), 2_800..5_000);
    assert!(slowness(&node.balancer, at(5_000)) < 1.1, "good answers end the belief");
}

#[test]
fn belief_fades() {
    let (mut node, _) = node();
    report(&mut node.balancer, (5, 5, 0), 0..2_800);
    assert!(slowness(&node.balancer, at(8_000)) < 1.1, "it is tried again");
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
fn sound_servers_not_told() {
    let (mut node, rule) = node();
    let id = Name::new("i-1");
    let ask = |node: &mut Node, took: u64, from: u64| {
        node.balancer.on_sent(&id, &rule, at(from));
        let now = at(from + took);
        node.balancer.on_end(&id, &rule, at(from), Seen::Served, Duration::ZERO, now);
    };
    ask(&mut node, 30, 0);
    assert!(node.balancer.report(at(100)).is_empty());
    ask(&mut node, 500, 200);
    let told = node.balancer.report(at(800));
    assert_eq!(told, sample(1, 1, 0));
    node.balancer.on_report(&told, at(800));
    ask(&mut node, 30, 900);
    assert_eq!(node.balancer.report(at(1_000)), sample(1, 0, 0), "suspects are told of, also good");
}

#[test]
fn unknown_server_ignored() {
    let (mut node, _) = node();
    let unknown = Sample { server: 7, tally: Tally { answers: 9, slow: 9, failures: 9 } };
    assert!(node.balancer.on_report(&[unknown], at(0)).is_empty());
}

/// A node whose record takes as many bytes as one of a site.
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
    peer.set_config(Stamp { version: u64::MAX, digest: Digest::from_u128(u128::MAX) });
    peer.on_roster(others, at(0));
    peer
}

/// A report that does not fit a packet would be told to nobody.
#[test]
fn fullest_report_fits() {
    let tally = Tally { answers: 127, slow: 127, failures: 127 };
    let samples = (0..36).map(|it| Sample { server: u32::MAX - it, tally }).collect();
    let peer = peer(vec![longest("edge-a-data-centre-2", "a-data-centre-1")]);
    let actions = peer.push_nearby(News::Seen(samples), &mut SmallRng::seed_from_u64(1));
    let [Action::Send(_, packet)] = &actions[..] else { panic!("not told: {actions:?}") };
    assert!(packet.encode().len() <= 448, "{} bytes", packet.encode().len());
}

#[test]
fn nodes_nearby_told() {
    let near = (10..70).map(|it| longest(&format!("edge-{it}"), "a-data-centre-1"));
    let far = (70..90).map(|it| longest(&format!("edge-{it}"), "b"));
    let all = peer(near.chain(far.clone()).collect());
    let rng = &mut SmallRng::seed_from_u64(2);
    assert_eq!(
        all.push_nearby(News::Seen(sample(1, 1, 0)), rng).len(),
        24,
        "whatever their number"
    );
    let alone = peer(far.collect());
    assert_eq!(alone.push_nearby(News::Seen(sample(1, 1, 0)), rng).len(), 8, "some elsewhere");
}
