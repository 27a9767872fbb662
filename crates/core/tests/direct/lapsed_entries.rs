//! Entries that disappear while the store is unavailable.

use mimosabridge::directory::{Change, Directory, Entry};

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
    directory.on_store_available(at(60_000));
    assert!(directory.tick(at(61_000)).is_empty());
    assert_eq!(directory.tick(at(62_400)), [Change::Removed(id)]);
}

#[test]
fn restored_in_time() {
    let mut directory = directory();
    directory.on_store_unavailable(at(0));
    directory.on_store_available(at(100));
    let id = entry(1, "one", "a").id;
    directory.on_removed(&id, at(200));
    assert_eq!(directory.set(entry(1, "one", "a")), Some(Change::Returned(id)));
    assert!(directory.tick(at(5_000)).is_empty());
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
    directory.on_peer_contact(at(900), at(1_200));
    assert!(directory.is_store_unavailable(), "the peer's contact was before the loss");
    directory.on_peer_contact(at(1_100), at(1_200));
    assert!(!directory.is_store_unavailable());
}
