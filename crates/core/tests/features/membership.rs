//! Failure detection and the spread of news between nodes.

use std::time::Duration;

use mimosabridge::{
    config::{Digest, Stamp},
    fingerprint::Fingerprint,
    member::{News, Peer, Settings, State},
    name::Name,
    quarantine::{Crash, Evidence, Weight},
};
use rstest::rstest;

use crate::mesh::{Mesh, address, record};

const NODES: usize = 18;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn crash(fingerprint: Fingerprint, server: Name) -> News {
    let crash = Crash {
        server,
        service: u32::MAX,
        born: u64::MAX,
        age: Duration::from_secs(300),
        is_repeat: true,
        weight: Weight::PROVEN,
    };
    News::Evidence { fingerprint, evidence: Evidence::Crash(crash) }
}

/// Every urgent kind of news, with names as long as they get in use.
fn urgent() -> [News; 3] {
    let server = Name::from("route-planning-07-server-with-a-long-name");
    let fingerprint = Fingerprint::new(&Name::from("rule"), b"poison");
    [
        News::Config {
            stamp: Stamp { version: 1_000_000, digest: Digest::from_u128(u128::MAX) },
            in_force: true,
        },
        News::Leaving { server: server.clone(), round: 1 },
        crash(fingerprint, server),
    ]
}

#[rstest]
fn all_join(#[values(0.0, 0.2)] loss: f64) {
    let mut mesh = Mesh::new(NODES, 1);
    mesh.loss = loss;
    mesh.run(seconds(40));
    assert!(mesh.has_converged(NODES));
}

#[test]
fn crash_detected() {
    let mut mesh = Mesh::joined(NODES, 2);
    mesh.down.insert(address(5));
    mesh.run(seconds(20));
    assert!((0..NODES).filter(|it| *it != 5).all(|it| mesh.state_of(it, 5) == Some(State::Dead)));
    assert!(mesh.has_converged(NODES - 1), "no other node is declared dead");
}

#[test]
fn many_crashes_detected() {
    let mut mesh = Mesh::joined(NODES, 3);
    for number in 0..NODES / 3 {
        mesh.down.insert(address(number));
    }
    mesh.run(seconds(40));
    assert!(mesh.has_converged(NODES - NODES / 3));
}

#[test]
fn packet_loss_tolerated() {
    let mut mesh = Mesh::joined(NODES, 4);
    mesh.loss = 0.05;
    for _ in 0..60 {
        mesh.run(seconds(1));
        let dead = |it| (0..NODES).any(|other| mesh.state_of(it, other) == Some(State::Dead));
        assert!(!(0..NODES).any(dead), "packet loss alone gets no node declared dead");
    }
}

#[test]
fn leaving_announced() {
    let mut mesh = Mesh::joined(NODES, 5);
    mesh.leave(7);
    mesh.run(seconds(3));
    assert!((0..NODES).all(|it| mesh.state_of(it, 7) == Some(State::Leaving)));
    mesh.down.insert(address(7));
    mesh.run(seconds(20));
    assert!((0..NODES).filter(|it| *it != 7).all(|it| mesh.state_of(it, 7) == Some(State::Dead)));
}

#[rstest]
#[case::later_clock(2)]
#[case::clock_behind(0)]
fn restart_accepted(#[case] boot: u64) {
    let mut mesh = Mesh::joined(NODES, 6);
    mesh.down.insert(address(3));
    mesh.run(seconds(20));
    mesh.start(3, boot);
    mesh.run(seconds(40));
    assert!(mesh.has_converged(NODES), "the new incarnation is accepted, even with a lower boot");
}

#[test]
fn paused_node_returns() {
    let mut mesh = Mesh::joined(NODES, 7);
    mesh.paused.insert(address(4));
    mesh.run(seconds(20));
    assert_eq!(mesh.state_of(0, 4), Some(State::Dead));
    mesh.resume(4);
    assert_eq!(mesh.state_of(4, 0), Some(State::Alive), "the resumed node suspects no other");
    mesh.run(seconds(1));
    assert!((0..NODES).all(|it| mesh.state_of(4, it) == Some(State::Alive)));
    mesh.run(seconds(40));
    assert!(mesh.has_converged(NODES));
}

#[test]
fn partition_heals() {
    let mut mesh = Mesh::joined(NODES, 8);
    mesh.partition = (0..NODES / 2).map(address).collect();
    mesh.run(seconds(120));
    assert_eq!(mesh.state_of(0, NODES - 1), Some(State::Dead));
    assert_eq!(mesh.state_of(NODES - 1, 0), Some(State::Dead));
    mesh.partition.clear();
    mesh.run(seconds(40));
    assert!(mesh.has_converged(NODES));
}

/// A node that is cut off alone, and a minority of the fleet, detect that they are isolated.
#[rstest]
#[case::one_node(1)]
#[case::minority(NODES / 3)]
fn isolation_detected(#[case] count: usize) {
    let mut mesh = Mesh::joined(NODES, 9);
    mesh.platform_readers = [address(NODES - 1)].into();
    mesh.run(seconds(20));
    assert!(mesh.isolated().is_empty());
    mesh.partition = (0..count).map(address).collect();
    mesh.run(seconds(30));
    assert_eq!(mesh.isolated(), (0..count).map(address).collect());
    mesh.partition.clear();
    mesh.run(seconds(30));
    assert!(mesh.isolated().is_empty());
}

#[test]
fn minority_with_reader() {
    let mut mesh = Mesh::joined(NODES, 9);
    mesh.platform_readers = [address(0), address(NODES - 1)].into();
    mesh.partition = (0..NODES / 3).map(address).collect();
    mesh.run(seconds(30));
    assert!(mesh.isolated().is_empty(), "both sides read what operators publish");
}

#[test]
fn platform_down() {
    let mut mesh = Mesh::joined(NODES, 9);
    mesh.run(seconds(60));
    assert!(mesh.isolated().is_empty(), "without a partition no node is isolated");
    for number in 0..NODES / 3 {
        mesh.leave(number);
        mesh.run(seconds(1));
        mesh.down.insert(address(number));
    }
    mesh.run(seconds(60));
    assert!(mesh.isolated().is_empty(), "announced leaves do not count as losses");
}

#[test]
fn single_node_not_isolated() {
    let now = mimosabridge::time::Time::from_millis(60_000);
    let peer = Peer::new(record(0, 1), Settings::new(), now);
    assert!(!peer.is_isolated(now), "a fleet of one node has no other to reach");
}

#[rstest]
fn news_reaches_all(#[values(0, 1, 2)] kind: usize, #[values(0.0, 0.2)] loss: f64) {
    let news = urgent()[kind].clone();
    let mut mesh = Mesh::joined(NODES, 10);
    mesh.loss = loss;
    mesh.announce(0, news.clone());
    mesh.run(seconds(4));
    assert!(mesh.receivers(&news) >= NODES - 1, "{} of {NODES}", mesh.receivers(&news));
}

#[test]
fn packets_bounded() {
    let mut mesh = Mesh::joined(NODES, 11);
    for number in 0..NODES {
        for item in urgent() {
            mesh.announce(number, item);
        }
        for content in 0..20_u32 {
            let fingerprint = Fingerprint::new(&Name::from("rule"), &content.to_le_bytes());
            let server = Name::new(format!("server-{number}"));
            mesh.announce(number, crash(fingerprint, server));
        }
    }
    // The test environment checks the size of every packet.
    mesh.run(seconds(20));
    assert!(mesh.largest_packet > 300, "packets are filled: {}", mesh.largest_packet);
}
