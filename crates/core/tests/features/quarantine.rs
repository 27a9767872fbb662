//! Contents that crash servers are quarantined.

use std::time::Duration;

use mimosabridge::{fingerprint::Fingerprint, name::Name, quarantine::List, time::Time};

const NOW: Time = Time::from_millis(1);

fn poison() -> Fingerprint {
    Fingerprint::new(&Name::from("rule"), b"poison")
}

#[test]
fn two_crashes() {
    let mut list = List::new();
    assert!(list.record_crash(poison(), Name::from("a"), NOW));
    assert!(!list.record_crash(poison(), Name::from("a"), NOW), "the same crash counts once");
    assert!(!list.is_quarantined(poison(), NOW));
    assert!(list.record_crash(poison(), Name::from("b"), NOW));
    assert!(list.is_quarantined(poison(), NOW));
}

#[test]
fn success_clears() {
    let mut list = List::new();
    list.record_crash(poison(), Name::from("a"), NOW);
    list.clear(poison());
    list.record_crash(poison(), Name::from("b"), NOW);
    assert!(!list.is_quarantined(poison(), NOW), "the first crash was cleared");
    list.record_crash(poison(), Name::from("c"), NOW);
    list.clear(poison());
    assert!(list.is_quarantined(poison(), NOW), "a success does not end a quarantine");
}

#[test]
fn crashes_expire() {
    let mut list = List::new();
    list.record_crash(poison(), Name::from("a"), NOW);
    list.record_crash(poison(), Name::from("b"), NOW + Duration::from_secs(200));
    assert!(list.is_quarantined(poison(), NOW + Duration::from_secs(299)));
    assert!(!list.is_quarantined(poison(), NOW + Duration::from_secs(300)));
    assert!(!list.is_empty(), "the second crash still counts");
    assert!(!list.is_quarantined(poison(), NOW + Duration::from_secs(600)));
    assert!(list.is_empty());
}

#[test]
fn memory_bounded() {
    let mut list = List::new();
    for number in 0..50_000_u32 {
        let content = Fingerprint::new(&Name::from("rule"), &number.to_le_bytes());
        list.record_crash(content, Name::from("a"), NOW);
    }
    assert_eq!(list.len(), 10_000);
}
