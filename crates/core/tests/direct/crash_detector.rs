//! Crashes of servers are distinguished from broken connections.

use mimosabridge::{fingerprint::Fingerprint, name::Name, quarantine::CrashDetector};

use crate::fixture::at;

fn fingerprint(text: &str) -> Fingerprint {
    Fingerprint::new(&Name::new("rule"), text.as_bytes())
}

#[test]
fn crash_found() {
    let mut detector = CrashDetector::new();
    detector.on_broken(fingerprint("a"), Name::new("i-1"), at(0));
    detector.on_broken(fingerprint("b"), Name::new("i-2"), at(0));
    let crashed = detector.on_unreachable(&Name::new("i-1"), at(100));
    assert_eq!(crashed, [fingerprint("a")]);
    assert!(
        detector.on_unreachable(&Name::new("i-1"), at(101)).is_empty(),
        "a crash is returned once"
    );
}

#[test]
fn break_expires() {
    let mut detector = CrashDetector::new();
    detector.on_broken(fingerprint("a"), Name::new("i-1"), at(0));
    assert!(detector.on_unreachable(&Name::new("i-1"), at(1_600)).is_empty());
}
