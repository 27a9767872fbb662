//! Entries that go missing while the store is away.

use mimosabridge::directory::{Change, Directory, Entry};

use crate::fixture::{at, entry};

fn directory() -> Directory {
    let mut directory = Directory::new();
    directory.replace(vec![entry(1, "one", "a"), entry(2, "one", "a")], at(0));
    directory
}

#[test]
fn gone_at_once() {
    let mut directory = directory();
    let id = entry(1, "one", "a").id;
    assert_eq!(directory.remove(&id, at(1)), Some(Change::Removed(id)));
    assert_eq!(directory.len(), 1);
}

#[test]
fn kept_while_away() {
    let mut directory = directory();
    directory.on_store_lost();
    let id = entry(1, "one", "a").id;
    assert_eq!(directory.remove(&id, at(1)), Some(Change::Lapsed(id.clone())));
    assert!(directory.tick(at(60_000)).is_empty(), "nothing is sure while the store is away");
    directory.on_store_back(at(60_000));
    assert!(directory.tick(at(61_000)).is_empty());
    assert_eq!(directory.tick(at(62_400)), [Change::Removed(id)]);
}

#[test]
fn back_in_time() {
    let mut directory = directory();
    directory.on_store_lost();
    directory.on_store_back(at(100));
    let id = entry(1, "one", "a").id;
    directory.remove(&id, at(200));
    assert_eq!(directory.set(entry(1, "one", "a")), Some(Change::Returned(id)));
    assert!(directory.tick(at(5_000)).is_empty());
    assert_eq!(directory.len(), 2);
}

#[test]
fn draining_not_kept() {
    let mut directory = directory();
    let draining = Entry { is_draining: true, ..entry(1, "one", "a") };
    let id = draining.id.clone();
    assert_eq!(directory.set(draining), Some(Change::Draining(id.clone())));
    directory.on_store_lost();
    assert_eq!(directory.remove(&id, at(1)), Some(Change::Removed(id)));
}

#[test]
fn other_life() {
    let mut directory = directory();
    let reborn = Entry { born: 2, ..entry(1, "one", "a") };
    let id = reborn.id.clone();
    assert_eq!(directory.set(reborn), Some(Change::Restarted(id)));
}

#[test]
fn moved_service() {
    let mut directory = directory();
    directory.set(entry(1, "two", "a"));
    let of = |service: &str| directory.of(&service.into()).count();
    assert_eq!((of("one"), of("two")), (1, 1));
}
