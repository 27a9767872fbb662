//! Entries that disappear while the store is unavailable.

use std::time::Duration;

use mimosabridge::{
    directory::{Change, Directory, Entry, Uptime},
    feed::{Fact, Position, Snapshot, has_doubtful_gap, has_doubtful_removal},
};
use rstest::rstest;

use crate::fixture::{at, entry};

fn directory() -> Directory {
    let mut directory = Directory::new();
    directory.replace(vec![entry(1, "one", "a"), entry(2, "one", "a")], at(0));
    directory
}

#[test]
fn removed_at_once() {
    let mut directory = directory();
    let id = entry(1, "one", "a").id;
    assert_eq!(directory.on_removed(&id, at(1)), Some(Change::Removed(id)));
    assert_eq!(directory.len(), 1);
}

#[test]
fn kept_while_unavailable() {
    let mut directory = directory();
    directory.on_store_unavailable(at(0));
    let id = entry(1, "one", "a").id;
    assert_eq!(directory.on_removed(&id, at(1)), Some(Change::Lapsed(id.clone())));
    assert!(
        directory.tick(at(60_000)).is_empty(),
        "lapsed entries are kept while the store is unavailable"
    );
    directory.on_store_available(at(60_000), at(60_000));
    assert!(directory.tick(at(61_000)).is_empty());
    assert_eq!(directory.tick(at(62_400)), [Change::Removed(id)]);
}

#[test]
fn restored_in_time() {
    let mut directory = directory();
    directory.on_store_unavailable(at(0));
    directory.on_store_available(at(2_000), at(2_000));
    let id = entry(1, "one", "a").id;
    assert_eq!(directory.on_removed(&id, at(2_100)), Some(Change::Lapsed(id.clone())));
    assert_eq!(directory.set(entry(1, "one", "a")), Some(Change::Returned(id)));
    assert!(directory.tick(at(7_000)).is_empty());
    assert_eq!(directory.len(), 2);
}

#[test]
fn draining_removed() {
    let mut directory = directory();
    let draining = Entry { is_draining: true, ..entry(1, "one", "a") };
    let id = draining.id.clone();
    assert_eq!(directory.set(draining), Some(Change::Draining(id.clone())));
    directory.on_store_unavailable(at(0));
    assert_eq!(directory.on_removed(&id, at(1)), Some(Change::Removed(id)));
}

#[test]
fn restart_detected() {
    let mut directory = directory();
    let restarted = Entry { born: 2, ..entry(1, "one", "a") };
    let id = restarted.id.clone();
    assert_eq!(directory.set(restarted), Some(Change::Restarted(id)));
}

#[test]
fn moved_service() {
    let mut directory = directory();
    directory.set(entry(1, "two", "a"));
    let count = |service: &str| directory.by_service(&service.into()).count();
    assert_eq!((count("one"), count("two")), (1, 1));
}

/// Guards against a peer's old contact that counts as news of the store: all nodes told one another
/// for nine seconds that the store answers, while it refused each of them that read it.
#[test]
fn old_contact_of_peer() {
    let mut directory = directory();
    directory.on_store_unavailable(at(1_000));
    directory.on_peer_contact(at(900));
    assert!(directory.is_store_unavailable(), "the peer's contact was before the loss");
    directory.on_peer_contact(at(1_100));
    assert!(!directory.is_store_unavailable());
}

/// Returns a directory of a node that has read the store until 1 s, and not since.
fn lost() -> Directory {
    let mut directory = directory();
    directory.on_store_available(at(0), at(1_000));
    directory.on_store_unavailable(at(1_500));
    directory
}

/// Guards against a fault of the own connection that counts as an outage: a store that had turned only some nodes away
/// answered a node again, which used servers on for seconds whose entries had been removed meanwhile.
#[rstest]
#[case::read_all_the_while(0, 6_000, true)]
#[case::started_meanwhile(2_000, 6_000, true)]
#[case::pause_between_reads(0, 5_000, true)]
#[case::outage_seen(4_000, 6_000, false)]
#[case::lost_too(0, 2_000, false)]
fn removed_beside_uptime(#[case] since: u64, #[case] until: u64, #[case] is_removed: bool) {
    let mut directory = lost();
    directory.on_store_available(at(6_000), at(6_000));
    let id = entry(1, "one", "a").id;
    assert!(directory.is_lapse(&id, at(6_000)), "nothing shows that there was no outage");
    directory.on_peer_uptime(Uptime { since: at(since), until: at(until) });
    let change = directory.on_removed(&id, at(6_000));
    let removed = Change::Removed(id.clone());
    assert_eq!(change, Some(if is_removed { removed } else { Change::Lapsed(id) }));
}

/// Guards against a removal that is taken for a lapse, or the reverse, because servers write at another interval.
#[rstest]
#[case::long(Duration::from_secs(3), 3_900, true)]
#[case::long_outage(Duration::from_secs(3), 4_100, false)]
#[case::short(Duration::from_millis(100), 1_900, true)]
#[case::short_outage(Duration::from_millis(100), 2_100, false)]
fn other_interval(#[case] interval: Duration, #[case] back: u64, #[case] is_removed: bool) {
    let mut directory = Directory::new().with_write_interval(interval);
    directory.replace(vec![entry(1, "one", "a")], at(0));
    directory.on_store_available(at(0), at(1_000));
    directory.on_store_unavailable(at(1_100));
    directory.on_store_available(at(back), at(back));
    let id = entry(1, "one", "a").id;
    let removed = Change::Removed(id.clone());
    let change = directory.on_removed(&id, at(back));
    assert_eq!(change, Some(if is_removed { removed } else { Change::Lapsed(id) }));
}

/// Guards against a lapse that lasts although a neighbour shows that there was no outage.
#[test]
fn lapse_ended_by_uptime() {
    let mut directory = lost();
    directory.on_store_available(at(6_000), at(6_000));
    let id = entry(1, "one", "a").id;
    assert_eq!(directory.on_removed(&id, at(6_000)), Some(Change::Lapsed(id.clone())));
    // The peer that this node follows has lost the store again.
    directory.on_store_unavailable(at(6_100));
    directory.on_peer_uptime(Uptime { since: at(0), until: at(6_200) });
    assert_eq!(directory.tick(at(6_250)), [Change::Removed(id)]);
}

/// Guards against failures after an outage that prolong the use of lapsed servers.
#[test]
fn lapse_not_prolonged() {
    let mut directory = lost();
    let id = entry(1, "one", "a").id;
    directory.on_store_available(at(6_000), at(6_000));
    directory.on_removed(&id, at(6_000));
    for millis in (6_500..8_500).step_by(500) {
        directory.on_store_unavailable(at(millis));
        directory.on_store_available(at(millis + 100), at(millis + 100));
    }
    assert_eq!(directory.tick(at(8_400)), [Change::Removed(id)]);
}

/// Guards against single failures that count as an outage: a store that cut the watches of all nodes every three
/// seconds kept servers in use that had left.
#[test]
fn short_failure_ignored() {
    let mut directory = directory();
    directory.on_store_available(at(0), at(700));
    directory.on_store_unavailable(at(900));
    directory.on_store_available(at(1_800), at(1_800));
    let id = entry(1, "one", "a").id;
    assert_eq!(directory.on_removed(&id, at(1_800)), Some(Change::Removed(id)));
}

/// A watch that waited shows that the store was available until it was cut.
#[test]
fn cut_watch_ignored() {
    let mut directory = directory();
    directory.on_store_available(at(0), at(700));
    directory.on_watch_cut(at(1_400), at(3_300));
    directory.on_store_available(at(3_500), at(3_500));
    let id = entry(1, "one", "a").id;
    assert_eq!(directory.on_removed(&id, at(3_500)), Some(Change::Removed(id)));
}

/// A store that comes back from an older copy lacks entries that other nodes have seen in it until then.
#[test]
fn restore_not_bridged() {
    let mut directory = directory();
    directory.on_store_available(at(0), at(5_000));
    directory.on_store_restored(at(5_500));
    directory.on_peer_uptime(Uptime { since: at(0), until: at(5_400) });
    let id = entry(1, "one", "a").id;
    assert_eq!(directory.on_removed(&id, at(5_600)), Some(Change::Lapsed(id)));
}

#[test]
fn doubts_before_lapse() {
    let mut directory = lost();
    directory.on_store_available(at(6_000), at(6_000));
    let snapshot = |facts| Snapshot { position: Position::new(0, 9), facts };
    let changes = snapshot(vec![Fact::Gone("i-1".into())]);
    assert!(has_doubtful_removal(&directory, &changes, at(6_000)));
    assert!(!has_doubtful_removal(
        &directory,
        &snapshot(vec![Fact::Gone("i-9".into())]),
        at(6_000)
    ));
    let list = snapshot(vec![Fact::Server(entry(1, "one", "a"))]);
    assert!(has_doubtful_gap(&directory, &list, at(6_000)));
    directory.on_peer_uptime(Uptime { since: at(0), until: at(6_000) });
    assert!(!has_doubtful_removal(&directory, &changes, at(6_000)));
    assert!(!has_doubtful_gap(&directory, &list, at(6_000)));
}
