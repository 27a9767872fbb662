//! Lost attempts weigh as much as they show that a content ends servers.

use std::time::Duration;

use mimosabridge::{
    directory::Entry,
    fingerprint::Fingerprint,
    name::Name,
    quarantine::{Detector, Loss, Sign, Weight},
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

fn is_leaving(_: &Name) -> bool {
    false
}

/// The weight of a loss at a node that loses next to nothing.
fn base() -> Weight {
    Weight::new(0.0)
}

/// Returns the weights of the losses that are new or newly heavier.
fn weigh(detector: &mut Detector, millis: u64) -> Vec<Weight> {
    detector.weigh(is_leaving, at(millis)).into_iter().map(|it| it.1.weight).collect()
}

#[test]
fn crash_found() {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), Loss::Broken, false, at(0));
    detector.on_sign(&server(1), Sign::Refused);
    assert!(detector.weigh(is_leaving, at(499)).is_empty(), "the node may lose others, too");
    let crashes = detector.weigh(is_leaving, at(500));
    let (content, crash) = &crashes[0];
    assert_eq!((*content, &crash.server, crash.born), (fingerprint("a"), &server(1), 1));
    assert_eq!(crash.age, Duration::from_millis(500));
    assert_eq!(crash.weight, base().with_proof());
    assert!(weigh(&mut detector, 750).is_empty(), "a crash is returned once");
}

/// What is seen of a server after a loss may also be the network, or another process.
#[rstest]
#[case(Loss::Broken, None, false, base())]
#[case(Loss::Broken, None, true, base().with_doubt())]
#[case(Loss::Broken, Some(Sign::Unreachable), false, base())]
#[case(Loss::Broken, Some(Sign::Refused), false, base().with_proof())]
#[case(Loss::Broken, Some(Sign::Replaced), true, base().with_proof())]
#[case(Loss::Silent, None, false, base().with_doubt())]
#[case(Loss::Silent, None, true, Weight::default())]
#[case(Loss::Silent, Some(Sign::Unreachable), false, base())]
#[case(Loss::Silent, Some(Sign::Refused), false, base().with_proof())]
#[case(Loss::Silent, Some(Sign::Replaced), true, base().with_proof())]
fn ambiguous_signs(
    #[case] loss: Loss,
    #[case] sign: Option<Sign>,
    #[case] is_answered: bool,
    #[case] weight: Weight,
) {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), loss, false, at(0));
    if let Some(sign) = sign {
        detector.on_sign(&server(1), sign);
    }
    if is_answered {
        detector.on_answered(&server(1), at(0));
    }
    let weights = weigh(&mut detector, 1_000);
    assert_eq!(weights.first().copied().unwrap_or_default(), weight);
}

/// The entry of a server that vanished is removed after three heartbeats of silence.
#[test]
fn late_sign_counts() {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), Loss::Silent, false, at(0));
    detector.on_answered(&server(1), at(0));
    assert!(weigh(&mut detector, 600).is_empty());
    assert!(detector.expire(at(6_000)).is_empty());
    detector.on_sign(&server(1), Sign::Replaced);
    assert_eq!(weigh(&mut detector, 6_000), [base().with_proof()]);
}

#[test]
fn loss_expires() {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), Loss::Broken, false, at(0));
    assert_eq!(detector.expire(at(10_000)), [(fingerprint("a"), server(1))]);
    detector.on_sign(&server(1), Sign::Refused);
    assert!(weigh(&mut detector, 10_000).is_empty());
}

/// A server that leaves ends as planned.
#[test]
fn leaving_server_excepted() {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), Loss::Broken, false, at(0));
    detector.on_sign(&server(1), Sign::Refused);
    let crashes = detector.weigh(|it| *it == server(1), at(600));
    assert_eq!(crashes[0].1.weight, base().with_doubt());
}

/// Only an answer to what was sent after the loss shows that the server still runs.
#[test]
fn earlier_answer() {
    let mut detector = Detector::new();
    detector.on_lost(fingerprint("a"), &entry(1), Loss::Broken, false, at(100));
    detector.on_answered(&server(1), at(99));
    assert_eq!(weigh(&mut detector, 700), [base()]);
}

/// A service that answers a content does not answer for others.
#[test]
fn answer_clears_service() {
    let mut detector = Detector::new();
    let content = fingerprint("a");
    detector.on_lost(content, &entry(1), Loss::Broken, false, at(100));
    detector.on_content_answered(content, &Name::new("two"), at(100), at(200));
    detector.on_content_answered(content, &Name::new("one"), at(99), at(200));
    assert!(detector.is_suspect(content));
    detector.on_content_answered(content, &Name::new("one"), at(100), at(200));
    assert!(!detector.is_suspect(content));
    assert!(weigh(&mut detector, 700).is_empty());
}

/// A node that is cut off loses all attempts and sees signs of the end of each server.
#[test]
fn cut_off_node() {
    let mut detector = Detector::new();
    for number in 0..400 {
        let answered = fingerprint(&format!("served-{number}"));
        detector.on_content_answered(answered, &Name::new("one"), at(0), at(number * 5));
    }
    for number in 0..120 {
        let lost = fingerprint(&format!("lost-{number}"));
        let server = entry(number as usize % 30);
        detector.on_lost(lost, &server, Loss::Broken, false, at(2_000 + number * 5));
        detector.on_sign(&server.id, Sign::Refused);
    }
    for weight in weigh(&mut detector, 2_700) {
        assert!(weight < base(), "{weight:?} is less than of a loss without any sign");
    }
}

#[test]
fn checked_once() {
    let mut detector = Detector::new();
    let content = fingerprint("a");
    assert!(detector.on_lost(content, &entry(1), Loss::Silent, false, at(0)));
    assert!(!detector.on_lost(content, &entry(1), Loss::Broken, false, at(1)));
    assert!(detector.on_lost(content, &entry(2), Loss::Broken, false, at(2)));
    detector.on_checked(&server(1));
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

/// A content is tried on one server until a loss is weighed, unless the server is merely slow.
#[test]
fn suspect_until_weighed() {
    let mut detector = Detector::new();
    let content = fingerprint("a");
    detector.on_lost(content, &entry(1), Loss::Silent, false, at(0));
    assert!(!detector.is_suspect(content), "a slow server");
    detector.on_sign(&server(1), Sign::Unreachable);
    assert!(detector.is_suspect(content));
    weigh(&mut detector, 600);
    assert!(!detector.is_suspect(content), "the weight tells");
    detector.on_lost(content, &entry(2), Loss::Broken, false, at(700));
    assert!(detector.is_suspect(content));
}

#[test]
fn memory_bounded() {
    let mut detector = Detector::new();
    for number in 0..5_000 {
        detector.on_lost(fingerprint("a"), &entry(number), Loss::Broken, false, at(0));
    }
    assert_eq!(detector.expire(at(10_000)).len(), 1_000);
}
