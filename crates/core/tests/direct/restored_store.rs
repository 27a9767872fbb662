//! A store that comes back from an older copy, and begins a new era.

use std::time::Duration;

use mimosabridge::{
    balance::Balancer,
    directory::{Change, Entry},
    feed::{
        Event, Fact, Lag, Mirror, Position, Progress, Reader, Restriction, Snapshot, Step, Update,
    },
    member::News,
    name::Name,
    plan::{Limits, Spec},
    time::Time,
};
use rstest::rstest;

use crate::fixture::{at, entry, settings};

struct Node {
    mirror: Mirror,
    balancer: Balancer,
}

fn plan(version: u64) -> Fact {
    Fact::Plan(Spec { version, ..Spec::default() })
}

fn server(number: u16) -> Fact {
    Fact::Server(entry(number, "one", "a"))
}

fn draining(number: u16) -> Fact {
    Fact::Server(Entry { is_draining: true, ..entry(number, "one", "a") })
}

fn snapshot(era: u64, revision: u64, facts: &[Fact]) -> Snapshot {
    Snapshot { position: Position::new(era, revision), facts: facts.to_vec() }
}

impl Node {
    /// Creates a node that knows a list of the store.
    fn new(era: u64, revision: u64, facts: &[Fact]) -> Node {
        let mut node = Node { mirror: Mirror::new(), balancer: Balancer::new(settings(), 1) };
        node.list(era, revision, facts, at(0));
        node
    }

    fn list(&mut self, era: u64, revision: u64, facts: &[Fact], now: Time) -> Vec<Event> {
        self.mirror.replace(snapshot(era, revision, facts), &mut self.balancer, now)
    }

    fn watch(&mut self, revision: u64, facts: &[Fact], now: Time) -> Vec<Event> {
        let after = self.mirror.position();
        let delta = snapshot(after.era, revision, facts);
        self.mirror.extend(after, delta, &mut self.balancer, now)
    }

    /// Fetches what `peer` knows beyond this node.
    fn fetch(&mut self, peer: &Node, now: Time) -> Vec<Event> {
        let known = self.mirror.progress();
        let Some(update) = peer.mirror.update_since(&known, &peer.balancer) else {
            return Vec::new();
        };
        self.mirror.apply(known.position, update, &mut self.balancer, now)
    }

    /// Receives the restrictions that `peer` repeats in a packet.
    fn hear(&mut self, peer: &mut Node, now: Time) {
        for news in peer.mirror.next_restrictions(now) {
            let News::Restriction { restriction, left_millis } = news else {
                panic!("not a restriction: {news:?}")
            };
            let left = Duration::from_millis(left_millis.into());
            self.mirror.on_restriction(restriction, left, &mut self.balancer, now);
        }
    }

    fn tick(&mut self, now: Time) -> Vec<Event> {
        self.mirror.tick(&mut self.balancer, now)
    }

    fn version(&self) -> u64 {
        self.mirror.progress().version
    }

    fn is_closed(&self, data_centre: &str) -> bool {
        self.balancer.closed().contains(&Name::new(data_centre))
    }

    /// Returns whether requests may be sent to a server.
    fn is_used(&self, number: u16) -> bool {
        let id = entry(number, "one", "a").id;
        self.balancer.is_usable(&id)
    }
}

fn closed(data_centre: &str) -> Fact {
    Fact::Closed(Name::new(data_centre))
}

fn opened(data_centre: &str) -> Fact {
    Fact::Opened(Name::new(data_centre))
}

/// Guards against a store that is ignored until its revisions pass those of the lost changes.
#[test]
fn restored_list_ignored() {
    let mut node = Node::new(1, 100, &[plan(6), server(1)]);
    let events = node.list(2, 60, &[plan(5), server(1)], at(1));
    assert_eq!(events, [Event::Restored(2)]);
    assert_eq!(node.version(), 6, "a configuration never reverts");
    assert_eq!(node.watch(61, &[plan(7)], at(2)), [Event::Plan(7)]);
}

/// Guards against changes that are missed because revisions pass the old one between two watches.
#[test]
fn passed_unseen() {
    let mut reader = Reader::new(at(0));
    let known = Position::new(1, 100);
    let answered = Position::new(2, 130);
    assert!(!answered.continues(&known));
    reader.on_discontinued(known, answered, at(1));
    assert_eq!(reader.step(known, at(1)), Step::List);
    reader.on_list(at(2));
    assert!(matches!(reader.step(answered, at(2_000)), Step::Watch { .. }));
}

/// Guards against lost changes of a store that states no era.
#[test]
fn fallen_revision() {
    let mut reader = Reader::new(at(0));
    let (known, answered) = (Position::new(0, 100), Position::new(0, 90));
    assert!(!answered.continues(&known));
    reader.on_discontinued(known, answered, at(1));
    assert_eq!(reader.step(known, at(1)), Step::List);
}

/// An answer from an earlier era, such as a late one, must not undo what is known.
#[test]
fn earlier_era() {
    let mut reader = Reader::new(at(0));
    let (known, answered) = (Position::new(3, 10), Position::new(2, 900));
    assert!(!answered.continues(&known));
    reader.on_discontinued(known, answered, at(1));
    assert!(reader.is_store_unavailable());

    let mut node = Node::new(3, 10, &[plan(5), server(1)]);
    let events = node.list(2, 900, &[plan(6)], at(1));
    assert_eq!(events, [Event::Plan(6), Event::Ignored(answered)]);
    assert!(node.is_used(1));
}

/// Guards against an evacuation that ends because the copy lacks it.
#[test]
fn undone_evacuation() {
    let mut node = Node::new(1, 100, &[server(1)]);
    node.watch(101, &[closed("a")], at(0));
    let events = node.list(2, 60, &[server(1)], at(1_000));
    assert_eq!(
        events,
        [Event::Restored(2), Event::RestrictionKept(Restriction::Closed(Name::new("a")))]
    );
    node.tick(at(10_000));
    assert!(node.is_closed("a"), "the operator may need seconds to write it again");
    node.watch(61, &[closed("a")], at(11_000));
    node.tick(at(60_000));
    assert!(node.is_closed("a"), "it was written again");
    node.watch(62, &[opened("a")], at(61_000));
    assert!(!node.is_closed("a"));
}

#[test]
fn evacuation_not_repeated() {
    let mut node = Node::new(1, 100, &[closed("a")]);
    node.list(2, 60, &[], at(1_000));
    let ended = node.tick(at(20_000));
    let restriction = Restriction::Closed(Name::new("a"));
    assert_eq!(ended, [Event::RestrictionEnded(restriction), Event::Closed(Vec::new())]);
}

#[test]
fn evacuation_taken_back() {
    let mut node = Node::new(1, 100, &[closed("a")]);
    let mut other = Node::new(1, 100, &[closed("a")]);
    node.list(2, 60, &[], at(1_000));
    other.list(2, 60, &[], at(1_000));
    node.watch(62, &[opened("a")], at(2_000));
    assert!(!node.is_closed("a"));
    node.hear(&mut other, at(2_100));
    assert!(!node.is_closed("a"), "another node that has not heard of it must not bring it back");
}

/// The copy may still have an evacuation that was taken back. Sending nothing breaks no promise.
#[test]
fn evacuation_in_copy() {
    let mut node = Node::new(1, 100, &[closed("a")]);
    node.watch(101, &[opened("a")], at(0));
    node.list(2, 60, &[closed("a")], at(1_000));
    assert!(node.is_closed("a"));
    node.watch(61, &[opened("a")], at(2_000));
    assert!(!node.is_closed("a"));
}

/// Guards against requests to a server that has announced its stop or was removed, because the copy
/// states it as ready.
#[rstest]
#[case::draining(draining(1))]
#[case::removed(Fact::Gone(Name::new("i-1")))]
fn undone_stop(#[case] stop: Fact) {
    let mut node = Node::new(1, 100, &[server(1), server(2)]);
    node.watch(101, &[stop], at(0));
    node.list(2, 60, &[server(1), server(2)], at(1_000));
    assert!(!node.is_used(1) && node.is_used(2));
    node.watch(61, &[server(1)], at(2_000));
    assert!(!node.is_used(1), "its lost writes may be written again in their order");
    let restarted = Entry { born: 2, ..entry(1, "one", "a") };
    node.watch(62, &[Fact::Server(restarted)], at(3_000));
    assert!(node.is_used(1), "the restriction holds for one start of the server");
}

#[test]
fn stop_not_repeated() {
    let mut node = Node::new(1, 100, &[server(1)]);
    node.watch(101, &[Fact::Gone(Name::new("i-1"))], at(0));
    node.list(2, 60, &[server(1)], at(1_000));
    node.tick(at(20_000));
    assert!(node.is_used(1), "an entry that is still there after three heartbeats is alive");
}

/// Guards against an earlier start of a server that the copy brings back: its cold successor would
/// get the load of a warm server.
#[test]
fn undone_restart() {
    let mut node = Node::new(1, 100, &[server(1)]);
    let cold = Duration::from_secs(30);
    let restarted = Entry { born: 2, cold, ..entry(1, "one", "a") };
    node.watch(101, &[Fact::Server(restarted)], at(0));
    node.list(2, 60, &[server(1)], at(1_000));
    let known = node.balancer.directory().get(&Name::new("i-1")).expect("the server is known");
    assert_eq!(known.born, 2);
    assert!(node.balancer.server(&known.id).is_some_and(|it| it.is_cold(at(1_000))));
}

/// Entries that the copy lacks get time to reappear, although no read of the store has failed.
#[test]
fn entry_not_in_copy() {
    let mut node = Node::new(1, 100, &[server(1)]);
    node.watch(101, &[server(2)], at(0));
    node.list(2, 60, &[server(1)], at(1_000));
    assert!(node.is_used(2));
    let removed = node.tick(at(5_000));
    assert_eq!(removed, [Event::Server(Change::Removed(Name::new("i-2")))]);
}

/// Guards against a node that starts after the restore and serves by the configuration of the copy.
#[test]
fn version_for_late_node() {
    let mut node = Node::new(1, 100, &[plan(6)]);
    node.list(2, 60, &[plan(5)], at(1));
    let mut late = Node::new(2, 60, &[plan(5)]);
    let known = late.mirror.progress();
    assert!(node.mirror.progress().is_urgent_for(&known));
    assert_eq!(late.fetch(&node, at(2)), [Event::Plan(6)]);
    assert!(late.fetch(&node, at(3)).is_empty());
    assert_eq!(late.mirror.position(), Position::new(2, 60));
}

/// A node that is still in the earlier era has what the restored store lacks.
#[test]
fn version_of_earlier_era() {
    let ahead = Node::new(1, 100, &[plan(6)]);
    let mut node = Node::new(2, 60, &[plan(5)]);
    assert_eq!(node.fetch(&ahead, at(1)), [Event::Plan(6)]);
    let mut ahead = ahead;
    let events = ahead.fetch(&node, at(2));
    assert_eq!(events, [Event::Restored(2)]);
    assert_eq!(ahead.mirror.position(), Position::new(2, 60));
}

/// Guards against a node that starts after the restore and sends to what the copy allows.
#[test]
fn restrictions_for_late_node() {
    let mut node = Node::new(1, 100, &[server(1), closed("b")]);
    node.watch(101, &[draining(1)], at(0));
    node.list(2, 60, &[server(1)], at(1_000));
    let mut late = Node::new(2, 60, &[server(1)]);
    late.hear(&mut node, at(2_000));
    assert!(late.is_closed("b") && !late.is_used(1));
    late.tick(at(20_000));
    assert!(!late.is_closed("b") && late.is_used(1), "the restrictions end everywhere");
}

/// Packets have room for a few restrictions; all must reach every node.
#[test]
fn restrictions_in_turn() {
    let servers: Vec<_> = (1..=20).map(server).collect();
    let mut node = Node::new(1, 100, &servers);
    node.watch(101, &(1..=20).map(draining).collect::<Vec<_>>(), at(0));
    node.list(2, 60, &servers, at(1_000));
    let mut late = Node::new(2, 60, &servers);
    for packet in 0..7 {
        late.hear(&mut node, at(1_000 + packet));
    }
    assert!((1..=20).all(|it| !late.is_used(it)));
}

/// Guards against a version that is given out twice: nodes that know the first keep it for good.
#[test]
fn version_given_out_twice() {
    let other = Fact::Plan(Spec {
        version: 6,
        limits: Limits { body_bytes: 7, ..Limits::default() },
        ..Spec::default()
    });
    let mut node = Node::new(1, 100, &[plan(6)]);
    assert!(node.watch(101, std::slice::from_ref(&other), at(0)).is_empty(), "not in one era");
    node.list(2, 60, &[plan(5)], at(1));
    assert_eq!(node.watch(61, &[other], at(2)), [Event::Plan(6)]);
}

/// Guards against a delta of an earlier era that is sent to a node of a later one, or the reverse.
#[test]
fn delta_across_eras() {
    let mut node = Node::new(1, 100, &[plan(5)]);
    node.watch(110, &[server(1)], at(0));
    let known = Progress { position: Position::new(2, 104), ..Progress::default() };
    let update = node.mirror.update_since(&known, &node.balancer);
    assert_eq!(update, Some(Update::Since(snapshot(2, 104, &[plan(5)]))), "only the configuration");
    node.list(2, 103, &[plan(5)], at(1));
    node.watch(120, &[server(2)], at(2));
    let known = Progress { position: Position::new(1, 110), ..Progress::default() };
    let update = node.mirror.update_since(&known, &node.balancer);
    assert!(matches!(update, Some(Update::All(it)) if it.position == Position::new(2, 120)));
}

#[test]
fn two_restores() {
    let mut node = Node::new(1, 100, &[plan(6), closed("a")]);
    node.list(2, 60, &[plan(5)], at(0));
    let events = node.list(4, 30, &[plan(4)], at(10_000));
    assert_eq!(
        events,
        [Event::Restored(4), Event::RestrictionKept(Restriction::Closed(Name::new("a")))]
    );
    node.tick(at(20_000));
    assert!(node.is_closed("a"), "the operator gets as much time again");
    assert_eq!(node.version(), 6);
}

/// Guards against a peer of a later era whose lower revision looks older.
#[test]
fn peer_of_later_era() {
    let progress =
        |era, revision| Progress { position: Position::new(era, revision), ..Progress::default() };
    let mut lag = Lag::new();
    let known = progress(1, 100);
    assert!(lag.on_peer(progress(2, 60), &known, at(0)));
    assert!(lag.due(&known, false).is_some());
    assert!(!lag.on_peer(progress(1, 200), &progress(2, 60), at(1)));
    assert_eq!(lag.due(&progress(2, 60), false), None);
}
