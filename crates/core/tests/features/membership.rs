//! Which nodes are believed alive, and how news travels.

use std::time::Duration;

use mimosabridge::{
    config::{Digest, Stamp},
    fingerprint::Fingerprint,
    member::{News, Peer, Settings, State},
    name::Name,
};
use rstest::rstest;

use crate::mesh::{Mesh, address, record};

const NODES: usize = 18;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Every urgent kind of news, with names as long as names get.
fn urgent() -> [News; 3] {
    let server = Name::from("route-planning-07-server-with-a-long-name");
    let fingerprint = Fingerprint::new(&Name::from("rule"), b"poison");
    [
        News::Config {
            stamp: Stamp { version: 1_000_000, digest: Digest::from_u128(u128::MAX) },
            in_force: true,
        },
        News::Leaving { server: server.clone(), round: 1 },
        News::Crash { fingerprint, server },
    ]
}

#[rstest]
fn all_join(#[values(0.0, 0.2)] loss: f64) {
    let mut mesh = Mesh::new(NODES, 1);
    mesh.loss = loss;
    mesh.run(seconds(40));
    assert!(mesh.agrees(NODES));
}

#[test]
fn crash_found() {
    let mut mesh = Mesh::joined(NODES, 2);
    mesh.down.insert(address(5));
    mesh.run(seconds(20));
    assert!((0..NODES).filter(|it| *it != 5).all(|it| mesh.belief(it, 5) == Some(State::Dead)));
    assert!(mesh.agrees(NODES - 1), "nobody else is blamed");
}

#[test]
fn many_crash() {
    let mut mesh = Mesh::joined(NODES, 3);
    for number in 0..NODES / 3 {
        mesh.down.insert(address(number));
    }
    mesh.run(seconds(40));
    assert!(mesh.agrees(NODES - NODES / 3));
}

#[test]
fn loss_forgiven() {
    let mut mesh = Mesh::joined(NODES, 4);
    mesh.loss = 0.05;
    for _ in 0..60 {
        mesh.run(seconds(1));
        let dead = |it| (0..NODES).any(|other| mesh.belief(it, other) == Some(State::Dead));
        assert!(!(0..NODES).any(dead), "a lost packet kills nobody");
    }
}

#[test]
fn leaving_told() {
    let mut mesh = Mesh::joined(NODES, 5);
    mesh.leave(7);
    mesh.run(seconds(3));
    assert!((0..NODES).all(|it| mesh.belief(it, 7) == Some(State::Leaving)));
    mesh.down.insert(address(7));
    mesh.run(seconds(20));
    assert!((0..NODES).filter(|it| *it != 7).all(|it| mesh.belief(it, 7) == Some(State::Dead)));
}

#[rstest]
#[case::later_clock(2)]
#[case::clock_behind(0)]
fn starts_again(#[case] boot: u64) {
    let mut mesh = Mesh::joined(NODES, 6);
    mesh.down.insert(address(3));
    mesh.run(seconds(20));
    mesh.start(3, boot);
    mesh.run(seconds(40));
    assert!(mesh.agrees(NODES), "the new life is believed, whatever its clock says");
}

#[test]
fn sleeper_returns() {
    let mut mesh = Mesh::joined(NODES, 7);
    mesh.asleep.insert(address(4));
    mesh.run(seconds(20));
    assert_eq!(mesh.belief(0, 4), Some(State::Dead));
    mesh.wake(4);
    assert_eq!(mesh.belief(4, 0), Some(State::Alive), "the sleeper blames nobody");
    mesh.run(seconds(1));
    assert!((0..NODES).all(|it| mesh.belief(4, it) == Some(State::Alive)));
    mesh.run(seconds(40));
    assert!(mesh.agrees(NODES));
}

#[test]
fn split_heals() {
    let mut mesh = Mesh::joined(NODES, 8);
    mesh.island = (0..NODES / 2).map(address).collect();
    mesh.run(seconds(120));
    assert_eq!(mesh.belief(0, NODES - 1), Some(State::Dead));
    assert_eq!(mesh.belief(NODES - 1, 0), Some(State::Dead));
    mesh.island.clear();
    mesh.run(seconds(40));
    assert!(mesh.agrees(NODES));
}

/// A node that is cut off alone, and a minority of the fleet, know that they cannot know.
#[rstest]
#[case::one_node(1)]
#[case::minority(NODES / 3)]
fn cut_off(#[case] count: usize) {
    let mut mesh = Mesh::joined(NODES, 9);
    mesh.readers = [address(NODES - 1)].into();
    mesh.run(seconds(20));
    assert!(mesh.isolated().is_empty());
    mesh.island = (0..count).map(address).collect();
    mesh.run(seconds(30));
    assert_eq!(mesh.isolated(), (0..count).map(address).collect());
    mesh.island.clear();
    mesh.run(seconds(30));
    assert!(mesh.isolated().is_empty());
}

#[test]
fn reader_in_minority() {
    let mut mesh = Mesh::joined(NODES, 9);
    mesh.readers = [address(0), address(NODES - 1)].into();
    mesh.island = (0..NODES / 3).map(address).collect();
    mesh.run(seconds(30));
    assert!(mesh.isolated().is_empty(), "both sides read what operators publish");
}

#[test]
fn platform_down() {
    let mut mesh = Mesh::joined(NODES, 9);
    mesh.run(seconds(60));
    assert!(mesh.isolated().is_empty(), "without a split the fleet goes on");
    for number in 0..NODES / 3 {
        mesh.leave(number);
        mesh.run(seconds(1));
        mesh.down.insert(address(number));
    }
    mesh.run(seconds(60));
    assert!(mesh.isolated().is_empty(), "nodes that left are not lost");
}

#[test]
fn alone_not_isolated() {
    let now = mimosabridge::time::Time::from_millis(60_000);
    let peer = Peer::new(record(0, 1), Settings::new(), now);
    assert!(!peer.is_isolated(now), "a fleet of one misses nobody");
}

#[rstest]
fn news_everywhere(#[values(0, 1, 2)] kind: usize, #[values(0.0, 0.2)] loss: f64) {
    let news = urgent()[kind].clone();
    let mut mesh = Mesh::joined(NODES, 10);
    mesh.loss = loss;
    mesh.announce(0, news.clone());
    mesh.run(seconds(4));
    assert!(mesh.heard(&news) >= NODES - 1, "{} of {NODES}", mesh.heard(&news));
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
            mesh.announce(number, News::Crash { fingerprint, server });
        }
    }
    // The environment itself checks every packet against the bound.
    mesh.run(seconds(20));
    assert!(mesh.largest > 300, "packets are filled: {}", mesh.largest);
}
