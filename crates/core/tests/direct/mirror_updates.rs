//! Updates of the mirror from the store and from peers.

use mimosabridge::{
    balance::Balancer,
    directory::{Change, Uptime},
    feed::{Event, Fact, Mirror, Position, Progress, Snapshot, Update},
    name::Name,
    plan::Spec,
};

use crate::fixture::{at, entry, settings};

fn plan(version: u64) -> Fact {
    Fact::Plan(Spec { version, ..Spec::default() })
}

fn on(revision: u64) -> Position {
    Position::new(0, revision)
}

/// Returns the progress of a peer that has the latest configuration.
fn known(revision: u64) -> Progress {
    Progress { position: on(revision), version: u64::MAX, ..Progress::default() }
}

fn delta(revision: u64, facts: Vec<Fact>) -> Snapshot {
    Snapshot { position: on(revision), facts }
}

#[test]
fn older_plan_ignored() {
    let (mut mirror, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    let events = mirror.replace(delta(10, vec![plan(5)]), &mut balancer, at(0));
    assert_eq!(events, [Event::Plan(5)]);
    assert!(mirror.extend(on(10), delta(11, vec![plan(3)]), &mut balancer, at(1)).is_empty());
    assert_eq!(mirror.plan().map(|it| it.version()), Some(5));
}

#[test]
fn older_snapshot_ignored() {
    let (mut mirror, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    mirror.replace(delta(10, vec![Fact::Server(entry(1, "one", "a"))]), &mut balancer, at(0));
    let events = mirror.replace(delta(9, Vec::new()), &mut balancer, at(1));
    assert_eq!(events, [Event::Ignored(on(9))]);
    assert_eq!(balancer.directory().len(), 1);
}

#[test]
fn snapshot_round_trip() {
    let (mut mirror, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    let facts = vec![plan(5), Fact::Closed(Name::new("b")), Fact::Server(entry(1, "one", "a"))];
    mirror.replace(delta(10, facts.clone()), &mut balancer, at(0));
    assert_eq!(mirror.snapshot(&balancer), delta(10, facts));
}

#[test]
fn closed_and_opened() {
    let (mut mirror, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    let data_centre = Name::new("b");
    mirror.extend(on(0), delta(2, vec![Fact::Closed(data_centre.clone())]), &mut balancer, at(0));
    assert!(balancer.closed().contains(&data_centre));
    mirror.extend(on(2), delta(3, vec![Fact::Opened(data_centre.clone())]), &mut balancer, at(1));
    assert!(!balancer.closed().contains(&data_centre));
}

#[test]
fn removed_from_snapshot() {
    let (mut mirror, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    let servers = [1, 2].map(|it| Fact::Server(entry(it, "one", "a")));
    mirror.replace(delta(10, servers.to_vec()), &mut balancer, at(0));
    let events = mirror.replace(delta(12, servers[..1].to_vec()), &mut balancer, at(1));
    assert_eq!(events, [Event::Server(Change::Removed(Name::new("i-2")))]);
}

/// Guards against the loss of a version: after a network partition, the answer to a VM's watch
/// crossed a snapshot of a peer and was ignored, but the next watch began after that answer.
#[test]
fn crossing_delta() {
    let (mut mirror, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    mirror.replace(delta(72, vec![plan(6)]), &mut balancer, at(0));
    mirror.replace(delta(75, vec![plan(6)]), &mut balancer, at(1));
    let crossing = delta(78, vec![plan(10)]);
    assert!(mirror.extend(on(72), crossing.clone(), &mut balancer, at(2)).is_empty());
    assert_eq!(mirror.position(), on(75), "the next watch begins here");
    assert_eq!(mirror.extend(on(75), crossing, &mut balancer, at(3)), [Event::Plan(10)]);
}

#[test]
fn deltas_for_followers() {
    let servers: Vec<_> = (1..4).map(|it| Fact::Server(entry(it, "one", "a"))).collect();
    let (mut reader, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    reader.replace(delta(10, servers.clone()), &mut balancer, at(0));
    let (mut follower, mut follower_balancer) = (Mirror::new(), Balancer::new(settings(), 2));
    let Some(Update::All(all)) = reader.update_since(&known(0), &balancer) else {
        panic!("not sent everything")
    };
    follower.replace(all, &mut follower_balancer, at(1));
    assert_eq!(reader.update_since(&known(10), &balancer), None);

    reader.extend(on(10), delta(12, vec![Fact::Gone(Name::new("i-1"))]), &mut balancer, at(2));
    reader.extend(on(12), delta(13, vec![plan(4)]), &mut balancer, at(3));
    let Some(Update::Since(since)) = reader.update_since(&known(10), &balancer) else {
        panic!("not sent a delta")
    };
    assert_eq!(since.facts.len(), 2, "only what the follower lacks");
    let events = follower.extend(on(10), since, &mut follower_balancer, at(4));
    assert_eq!(events, [Event::Server(Change::Removed(Name::new("i-1"))), Event::Plan(4)]);
    assert_eq!(follower.position(), on(13));
}

/// A follower that switches to another reader may know a revision in the middle of one of its
/// deltas.
#[test]
fn overlapping_delta() {
    let (mut reader, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    reader.replace(delta(10, vec![plan(1)]), &mut balancer, at(0));
    reader.extend(on(10), delta(20, vec![plan(2)]), &mut balancer, at(1));
    assert!(
        matches!(reader.update_since(&known(15), &balancer), Some(Update::Since(it)) if it.position == on(20))
    );
    assert!(
        matches!(reader.update_since(&known(9), &balancer), Some(Update::All(_))),
        "older than the kept deltas"
    );
}

#[test]
fn deltas_bounded() {
    let (mut reader, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    reader.replace(delta(10, vec![plan(1)]), &mut balancer, at(0));
    for revision in 10..2_000 {
        let gone = vec![Fact::Gone(Name::new("i-1"))];
        reader.extend(on(revision), delta(revision + 1, gone), &mut balancer, at(1));
    }
    assert!(matches!(reader.update_since(&known(10), &balancer), Some(Update::All(_))));
    assert!(
        matches!(reader.update_since(&known(1_990), &balancer), Some(Update::Since(it)) if it.facts.len() == 10)
    );
}

/// Guards against a second lapse check on an update of a peer: a VM that the store refused received
/// the removal of a server from a peer, treated its entry as lapsed and sent it requests 3.2 s
/// after the store had reported the removal.
#[test]
fn removal_by_peer() {
    let (mut mirror, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    let servers = (1..4).map(|it| Fact::Server(entry(it, "one", "a")));
    mirror.replace(delta(10, servers.collect()), &mut balancer, at(0));
    balancer.directory_mut().on_store_unavailable(at(0));
    let gone = |it: &str| Event::Server(Change::Removed(Name::new(it)));
    let update = Update::Since(delta(11, vec![Fact::Gone(Name::new("i-1"))]));
    assert_eq!(mirror.apply(on(10), update, &mut balancer, at(1)), [gone("i-1")]);
    let update = Update::All(delta(12, vec![Fact::Server(entry(3, "one", "a"))]));
    assert_eq!(mirror.apply(on(11), update, &mut balancer, at(2)), [gone("i-2")]);
}

#[test]
fn lapse_passed_on() {
    let (mut reader, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    let server = Fact::Server(entry(1, "one", "a"));
    reader.replace(delta(10, vec![server.clone()]), &mut balancer, at(0));
    let back = at(5_000);
    balancer.directory_mut().on_store_unavailable(at(0));
    balancer.directory_mut().on_store_available(back, back);
    reader.extend(on(10), delta(11, vec![Fact::Gone(Name::new("i-1"))]), &mut balancer, back);
    let update = reader.update_since(&known(10), &balancer).expect("the reader is ahead");

    let (mut follower, mut follower_balancer) = (Mirror::new(), Balancer::new(settings(), 2));
    follower.replace(delta(10, vec![server]), &mut follower_balancer, at(0));
    let lapsed = Event::Server(Change::Lapsed(Name::new("i-1")));
    assert_eq!(follower.apply(on(10), update, &mut follower_balancer, at(5_003)), [lapsed]);
    assert!(follower.tick(&mut follower_balancer, at(7_000)).is_empty(), "the entry may reappear");
    let gone = Event::Server(Change::Removed(Name::new("i-1")));
    assert_eq!(follower.tick(&mut follower_balancer, at(7_400)), [gone]);
}

/// Guards against a lapsed entry that is kept forever: its expiry has no revision, so a follower
/// that receives it as a valid entry would never remove it.
#[test]
fn lapsed_in_snapshot() {
    let (mut reader, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    reader.replace(delta(10, vec![Fact::Server(entry(1, "one", "a"))]), &mut balancer, at(0));
    let back = at(5_000);
    balancer.directory_mut().on_store_unavailable(at(0));
    balancer.directory_mut().on_store_available(back, back);
    reader.extend(on(10), delta(11, vec![Fact::Gone(Name::new("i-1"))]), &mut balancer, back);

    let (mut follower, mut follower_balancer) = (Mirror::new(), Balancer::new(settings(), 2));
    let update = reader.update_since(&known(0), &balancer).expect("the reader is ahead");
    follower.apply(on(0), update, &mut follower_balancer, at(5_003));
    assert_eq!(follower_balancer.directory().len(), 1, "the entry may reappear");
    follower.tick(&mut follower_balancer, at(7_400));
    assert!(follower_balancer.directory().is_empty());
}

/// Guards against a lapse that is passed on by a node that has lost the store alone: its neighbours used servers on that
/// had left, although they knew that the store had no outage.
#[test]
fn reported_lapse_disproved() {
    let (mut mirror, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    let servers = (1..3).map(|it| Fact::Server(entry(it, "one", "a")));
    mirror.replace(delta(10, servers.collect()), &mut balancer, at(0));
    balancer.directory_mut().on_store_available(at(0), at(0));
    balancer.directory_mut().on_store_unavailable(at(500));
    let uptime = Uptime { since: at(0), until: at(5_000) };
    balancer.directory_mut().on_peer_uptime(uptime);
    let gone = |it: &str| Event::Server(Change::Removed(Name::new(it)));
    let update = Update::Since(delta(11, vec![Fact::Lapsed(Name::new("i-1"))]));
    assert_eq!(mirror.apply(on(10), update, &mut balancer, at(5_100)), [gone("i-1")]);
    let facts = vec![Fact::Server(entry(2, "one", "a")), Fact::Lapsed(Name::new("i-2"))];
    let update = Update::All(delta(12, facts));
    assert_eq!(mirror.apply(on(11), update, &mut balancer, at(5_200)), [gone("i-2")]);
}
