//! Crashes of servers are distinguished from lost answers.

use std::time::Duration;

use mimosabridge::{
    directory::Entry,
    fingerprint::Fingerprint,
    name::Name,
    quarantine::{Crash, Detector, Loss, Sign},
};
use rstest::rstest;

use crate::fixture::{self, at};

fn fingerprint(text: &str) -> Fingerprint {
    Fingerprint::new(&Name::new("rule"), text.as_bytes())
}

fn server(number: usize) -> Name {
    entry(number).id
}

fn entry(number: usize) -> Entry {
    fixture::entry(number as u16, "one", "a")
}

#[test]
fn crash_found() {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), Loss::Broken, false, at(0));
    detector.on_lost(fingerprint("b"), &entry(2), Loss::Broken, false, at(0));
    let crash =
        Crash { server: server(1), born: 1, age: Duration::from_millis(500), is_repeat: false };
    let crashes = detector.on_sign(&server(1), Sign::Refused, at(500));
    assert_eq!(crashes, [(fingerprint("a"), crash)]);
    assert!(
        detector.on_sign(&server(1), Sign::Refused, at(500)).is_empty(),
        "a crash is returned once"
    );
}

/// A silent attempt and a connection that does not open may both be the network.
#[rstest]
#[case(Loss::Broken, Sign::Unreachable, true)]
#[case(Loss::Broken, Sign::Refused, true)]
#[case(Loss::Broken, Sign::Replaced, true)]
#[case(Loss::Silent, Sign::Unreachable, false)]
#[case(Loss::Silent, Sign::Refused, true)]
#[case(Loss::Silent, Sign::Replaced, true)]
fn ambiguous_signs(#[case] loss: Loss, #[case] sign: Sign, #[case] is_crash: bool) {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), loss, false, at(0));
    assert_eq!(detector.on_sign(&server(1), sign, at(500)).len(), usize::from(is_crash));
}

/// The entry of a server that vanished is removed after three heartbeats of silence.
#[test]
fn late_sign_counts() {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), Loss::Silent, false, at(0));
    assert!(detector.expire(|_| false, at(6_000)).is_empty());
    assert_eq!(detector.on_sign(&server(1), Sign::Replaced, at(500)).len(), 1);
}

#[test]
fn loss_expires() {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), Loss::Broken, false, at(0));
    assert_eq!(detector.expire(|_| false, at(10_000)), [(fingerprint("a"), server(1))]);
    assert!(detector.on_sign(&server(1), Sign::Refused, at(500)).is_empty());
}

#[test]
fn leaving_server_excepted() {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), Loss::Broken, false, at(0));
    assert_eq!(detector.expire(|it| *it == server(1), at(1)).len(), 1);
    assert!(detector.on_sign(&server(1), Sign::Refused, at(500)).is_empty());
}

#[test]
fn running_server_acquitted() {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), Loss::Broken, false, at(100));
    assert!(detector.on_reached(&server(1), at(99)).is_empty(), "sent before the break");
    assert_eq!(detector.on_reached(&server(1), at(100)), [fingerprint("a")]);
    assert!(detector.on_sign(&server(1), Sign::Refused, at(500)).is_empty());
}

#[test]
fn checked_once() {
    let mut detector = Detector::new();
    let content = fingerprint("a");
    assert!(detector.on_lost(content, &entry(1), Loss::Silent, false, at(0)));
    assert!(!detector.on_lost(content, &entry(1), Loss::Broken, false, at(1)));
    assert!(detector.on_lost(content, &entry(2), Loss::Broken, false, at(2)));
    detector.on_reached(&server(1), at(3));
    assert!(detector.on_lost(content, &entry(1), Loss::Broken, false, at(4)));
}

/// Two servers that one fault ends do not end at the same moment.
#[test]
fn repeats_later() {
    let mut detector = Detector::new();
    let content = fingerprint("a");
    detector.on_lost(content, &entry(1), Loss::Broken, false, at(0));
    assert!(!detector.is_repeat(content, at(1)));
    assert!(detector.is_repeat(content, at(50)));
    assert!(!detector.is_repeat(fingerprint("b"), at(50)));
}

/// A content is tried on one server while another that it may have crashed has shown no sign of life.
#[test]
fn suspect_until_reached() {
    let mut detector = Detector::new();
    let content = fingerprint("a");
    detector.on_lost(content, &entry(1), Loss::Silent, false, at(0));
    assert!(!detector.is_suspect(content), "a slow server");
    assert!(detector.on_sign(&server(1), Sign::Unreachable, at(500)).is_empty());
    assert!(detector.is_suspect(content));
    detector.on_reached(&server(1), at(1));
    assert!(!detector.is_suspect(content));
    detector.on_lost(content, &entry(2), Loss::Broken, false, at(2));
    assert!(detector.is_suspect(content));
}

#[test]
fn memory_bounded() {
    let mut detector = Detector::new();
    for number in 0..5_000 {
        detector.on_lost(fingerprint("a"), &entry(number), Loss::Broken, false, at(0));
    }
    assert_eq!(detector.expire(|_| true, at(1)).len(), 1_000);
}
