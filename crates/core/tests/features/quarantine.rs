//! Contents that crash servers are quarantined.

use std::time::Duration;

use mimosabridge::{
    fingerprint::Fingerprint,
    name::Name,
    quarantine::{Crash, Effect, List},
    time::Time,
};

const NOW: Time = Time::from_millis(1_000);

fn poison() -> Fingerprint {
    Fingerprint::new(&Name::from("rule"), b"poison")
}

/// Returns the first crash of a content.
fn first(server: &str) -> Crash {
    Crash { server: Name::from(server), at: NOW, is_repeat: false }
}

/// Returns the crash of a server by an attempt that was sent after the first crash.
fn repeat(server: &str) -> Crash {
    Crash { is_repeat: true, ..first(server) }
}

fn later(millis: u64) -> Time {
    NOW + Duration::from_millis(millis)
}

#[test]
fn two_crashes() {
    let mut list = List::new();
    assert_eq!(list.record_crash(poison(), first("a"), NOW), Effect::Recorded);
    assert_eq!(list.record_crash(poison(), first("a"), NOW), Effect::Known);
    assert!(!list.is_quarantined(poison(), NOW), "the same crash counts once");
    assert_eq!(list.record_crash(poison(), repeat("b"), NOW), Effect::Quarantined);
    assert!(list.is_quarantined(poison(), NOW));
}

/// One fault ends several servers that were running the same harmless content.
#[test]
fn one_fault() {
    let mut list = List::new();
    for server in ["a", "b", "c"] {
        list.record_crash(poison(), first(server), NOW);
    }
    assert!(!list.is_quarantined(poison(), NOW));
}

/// Two nodes each see one crash, some time apart.
#[test]
fn crashes_apart() {
    let mut list = List::new();
    list.record_crash(poison(), first("a"), NOW);
    let second = Crash { at: later(1_500), ..first("b") };
    assert_eq!(list.record_crash(poison(), second, later(1_600)), Effect::Quarantined);
}

/// A server starts again under its identity and crashes again.
#[test]
fn same_server_twice() {
    let mut list = List::new();
    list.record_crash(poison(), first("a"), NOW);
    let second = Crash { at: later(4_000), ..repeat("a") };
    assert_eq!(list.record_crash(poison(), second, later(4_000)), Effect::Quarantined);
}

#[test]
fn success_clears() {
    let mut list = List::new();
    list.record_crash(poison(), first("a"), NOW);
    assert!(list.clear(poison(), NOW.before(Duration::from_millis(1)), NOW).is_empty());
    assert_eq!(list.clear(poison(), later(1), later(2)), [Name::from("a")]);
    let second = Crash { at: later(3), ..repeat("b") };
    list.record_crash(poison(), second, later(3));
    assert!(!list.is_quarantined(poison(), later(3)), "the first crash was cleared");
    let third = Crash { at: later(4), ..repeat("c") };
    list.record_crash(poison(), third, later(4));
    list.clear(poison(), later(5), later(6));
    assert!(list.is_quarantined(poison(), later(6)), "a success does not end a quarantine");
}

#[test]
fn crashes_expire() {
    let seconds = |it: u64| later(it * 1_000);
    let mut list = List::new();
    list.record_crash(poison(), first("a"), NOW);
    list.record_crash(poison(), Crash { at: seconds(200), ..first("b") }, seconds(200));
    assert!(list.is_quarantined(poison(), seconds(299)));
    assert!(!list.is_quarantined(poison(), seconds(300)));
    assert!(!list.is_empty(), "the second crash still counts");
    assert!(!list.is_quarantined(poison(), seconds(600)));
    assert!(!list.is_quarantined(poison(), seconds(600)));
    let other = Fingerprint::new(&Name::from("rule"), b"other");
    list.record_crash(other, Crash { at: seconds(600), ..first("c") }, seconds(600));
    assert_eq!(list.len(), 1, "only the new crash is left");
}

#[test]
fn memory_bounded() {
    let mut list = List::new();
    for number in 0..50_000_u32 {
        let content = Fingerprint::new(&Name::from("rule"), &number.to_le_bytes());
        list.record_crash(content, first("a"), NOW);
    }
    assert_eq!(list.len(), 10_000);
}
