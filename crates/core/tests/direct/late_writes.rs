//! Entries that the store takes after later ones of the same server.

use std::time::Duration;

use mimosabridge::{
    balance::Purpose,
    directory::{Change, Entry},
    feed::{Event, Fact, Position, Snapshot, Update},
    name::Name,
    plan::Target,
    time::Time,
};
use rstest::rstest;

use crate::fixture::{Node, at, entry, rule, service};

/// Returns the entry that the first server wrote as the given one since its start.
fn written(born: u64, sequence: u64) -> Entry {
    Entry { born, sequence: Some(sequence), ..entry(1, "one", "a") }
}

fn draining(born: u64, sequence: u64) -> Entry {
    Entry { is_draining: true, ..written(born, sequence) }
}

fn node(entries: Vec<Entry>) -> Node {
    let rules = vec![rule("one", Target::One(Name::new("one")))];
    Node::new(rules, vec![service("one", 0.0)], entries)
}

impl Node {
    /// Applies an entry that the store shows in a watch.
    fn watch(&mut self, entry: Entry, now: Time) -> Vec<Event> {
        self.publish(Fact::Server(entry), now)
    }

    fn publish(&mut self, fact: Fact, now: Time) -> Vec<Event> {
        let after = self.mirror.position();
        let position = Position::new(after.era, after.revision + 1);
        let delta = Snapshot { position, facts: vec![fact] };
        self.mirror.extend(after, delta, &mut self.balancer, now)
    }

    /// Applies a list of the store with one entry.
    fn list(&mut self, entry: Entry, now: Time) {
        let position = Position::new(0, self.mirror.position().revision + 1);
        let snapshot = Snapshot { position, facts: vec![Fact::Server(entry)] };
        self.mirror.replace(snapshot, &mut self.balancer, now);
    }

    /// Receives everything that a peer knows.
    fn fetch(&mut self, peer: &Node, now: Time) {
        let update = Update::All(peer.mirror.snapshot(&peer.balancer));
        let after = self.mirror.position();
        self.mirror.apply(after, update, &mut self.balancer, now);
    }

    fn known(&self) -> Option<Entry> {
        self.balancer.directory().get(&Name::new("i-1")).map(|it| (**it).clone())
    }

    fn is_picked(&mut self, now: Time) -> bool {
        let plan = self.plan.clone();
        let rule = self.rule("one");
        let service = Name::new("one");
        self.balancer.pick(&service, &rule, &plan, &[], Purpose::First, now).is_some()
    }

    /// Lets time pass, with ticks as often as nodes have them.
    fn wait(&mut self, from: u64, until: u64) {
        for millis in (from..=until).step_by(100) {
            self.mirror.tick(&mut self.balancer, at(millis));
        }
    }
}

/// Guards against a late write that hides the running process: what it says of itself would not count.
#[rstest]
#[case::earlier_start(written(1, 9))]
#[case::within_start(written(2, 3))]
fn late_write_in_force(#[case] late: Entry, #[values(false, true)] is_listed: bool) {
    let mut node = node(vec![written(1, 8)]);
    let running = written(2, 4);
    node.watch(running.clone(), at(100));
    let known = node.balancer.directory().get(&running.id).expect("it is known").clone();
    node.balancer.on_resting(&known, Duration::from_secs(8), at(200));
    if is_listed {
        node.list(late, at(300));
    } else {
        node.watch(late, at(300));
    }
    assert_eq!(node.known(), Some(running));
    assert!(!node.is_picked(at(300)), "the running process rests");
    node.watch(written(2, 5), at(1_400));
    assert_eq!(node.known(), Some(written(2, 5)));
    assert!(!node.is_picked(at(1_500)), "it still rests");
}

/// Guards against a draining server that a late write of the same start makes ready again.
#[test]
fn late_write_undoes_drain() {
    let mut node = node(vec![written(1, 1)]);
    node.watch(draining(1, 3), at(100));
    node.watch(written(1, 2), at(4_500));
    assert!(!node.balancer.is_usable(&Name::new("i-1")));
    node.publish(Fact::Gone(Name::new("i-1")), at(4_600));
    assert_eq!(node.known(), None);
    node.watch(written(1, 2), at(4_700));
    assert_eq!(node.known(), None, "its entry was removed after that write");
}

/// Guards against two late writes of different starts, one after the other.
#[test]
fn two_late_writes() {
    let mut node = node(vec![written(1, 1)]);
    node.watch(written(2, 1), at(100));
    node.watch(written(3, 1), at(200));
    node.watch(written(1, 2), at(300));
    node.watch(written(2, 2), at(400));
    assert_eq!(node.known(), Some(written(3, 1)));
}

/// Guards against a stopping server that is used because its report comes late, or because a write from between is late, too.
#[test]
fn late_report_of_stop() {
    let mut node = node(vec![written(1, 4)]);
    node.watch(draining(1, 2), at(100));
    assert!(!node.balancer.is_usable(&Name::new("i-1")));
    node.watch(written(1, 3), at(200));
    assert!(!node.balancer.is_usable(&Name::new("i-1")));
    node.publish(Fact::Gone(Name::new("i-1")), at(300));
    node.watch(draining(1, 2), at(400));
    node.watch(written(1, 3), at(500));
    assert_eq!(node.known(), None, "its entry was removed after both writes");
}

/// Guards against a late write of a server whose entry was removed and written again.
#[test]
fn late_write_after_removal() {
    let mut node = node(vec![written(1, 1)]);
    node.publish(Fact::Gone(Name::new("i-1")), at(100));
    node.watch(written(2, 1), at(200));
    node.watch(written(1, 2), at(300));
    assert_eq!(node.known(), Some(written(2, 1)));
}

/// Guards against a node that starts between the removal of an entry and a late write, and takes that for a new server.
#[test]
fn late_write_at_new_node() {
    let mut reader = node(vec![written(1, 4)]);
    reader.publish(Fact::Gone(Name::new("i-1")), at(100));
    let mut started = node(vec![]);
    for (id, edition) in reader.balancer.directory().removed() {
        started.balancer.directory_mut().note_removed(id, edition);
    }
    started.watch(written(1, 2), at(300));
    assert_eq!(started.known(), None);
    started.watch(written(1, 5), at(400));
    assert_eq!(started.known(), Some(written(1, 5)), "it was silent, and runs");
}

/// Guards against a node that learns of a late write from a peer and forgets the running process, or is never told
/// of the late write.
#[test]
fn late_write_of_peer() {
    let mut reader = node(vec![written(1, 1)]);
    reader.watch(written(2, 1), at(100));
    reader.watch(written(1, 2), at(200));
    for entries in [vec![], vec![written(2, 1)]] {
        let mut follower = node(entries);
        follower.fetch(&reader, at(300));
        assert_eq!(follower.known(), Some(written(2, 1)));
        follower.wait(400, 8_000);
        assert_eq!(follower.known(), Some(written(1, 2)), "the later start is silent");
    }
}

/// Guards against a server that is not used any more because its clock is behind its last start.
#[rstest]
fn clock_behind(#[values(false, true)] is_removed: bool) {
    let mut node = node(vec![written(9, 6)]);
    if is_removed {
        node.publish(Fact::Gone(Name::new("i-1")), at(100));
    }
    let cold = |sequence| Entry { cold: Duration::from_secs(3), ..written(5, sequence) };
    let events = node.watch(cold(1), at(1_000));
    let (edition, known) = (cold(1).edition(), written(9, 6).edition());
    assert_eq!(events, [Event::Server(Change::Held { id: Name::new("i-1"), edition, known })]);
    let is_cold =
        |it: &Node| it.balancer.server(&Name::new("i-1")).is_some_and(|it| it.is_cold(at(1_100)));
    assert!(is_removed || is_cold(&node), "it may have started just now");
    node.wait(1_100, 2_000);
    node.watch(cold(2), at(2_000));
    node.wait(2_100, 5_000);
    assert_ne!(node.known(), Some(cold(2)), "the last start may still write");
    node.wait(5_100, 6_000);
    assert_eq!(node.known(), Some(cold(2)));
    assert!(node.is_picked(at(6_000)));
    let server = node.balancer.directory().get(&Name::new("i-1")).expect("it is known").clone();
    node.balancer.on_resting(&server, Duration::from_secs(8), at(6_100));
    assert!(!node.is_picked(at(6_200)), "what it says counts");
}

/// Guards against a late write that comes into force because this node can't read the store.
#[test]
fn late_write_in_outage() {
    let mut node = node(vec![written(2, 1)]);
    node.watch(written(1, 2), at(100));
    node.wait(200, 2_000);
    node.balancer.directory_mut().on_store_unavailable(at(2_000));
    node.wait(2_100, 20_000);
    assert_eq!(node.known(), Some(written(2, 1)));
    node.balancer.directory_mut().on_store_available(at(20_000), at(20_000));
    node.wait(20_100, 23_000);
    assert_eq!(node.known(), Some(written(2, 1)));
}

/// Guards against writes that can't be ordered and are taken for late ones.
#[rstest]
#[case::no_start(Entry { born: 0, ..written(0, 1) })]
#[case::no_number(Entry { sequence: None, ..draining(2, 1) })]
#[case::same_number(draining(2, 4))]
fn unordered_writes(#[case] next: Entry) {
    let mut node = node(vec![written(2, 4)]);
    node.watch(next.clone(), at(100));
    assert_eq!(node.known(), Some(next));
}
