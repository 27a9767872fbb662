//! Contents that crash servers are quarantined.

use std::time::Duration;

use mimosabridge::{
    fingerprint::Fingerprint,
    member::News,
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
    Crash { server: Name::from(server), born: 1, age: Duration::ZERO, is_repeat: false }
}

/// Returns the crash of a server by an attempt that was sent after the first crash.
fn repeat(server: &str) -> Crash {
    Crash { is_repeat: true, ..first(server) }
}

fn later(millis: u64) -> Time {
    NOW + Duration::from_millis(millis)
}

fn receive(list: &mut List, news: News, now: Time) {
    let News::Crash { fingerprint, server, born, age_millis, is_repeat } = news else { return };
    let age = Duration::from_millis(age_millis.into());
    list.record_crash(fingerprint, Crash { server, born, age, is_repeat }, now);
}

/// Passes on what the next packet of a node carries.
fn pass_on(from: &mut List, to: &mut List, now: Time) {
    for news in from.next_news(now) {
        receive(to, news, now);
    }
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
    let age = Duration::from_millis(100);
    let second = Crash { age, ..first("b") };
    assert_eq!(list.record_crash(poison(), second, later(1_600)), Effect::Quarantined);
}

/// A server starts again under its identity and crashes again.
#[test]
fn same_server_twice() {
    let mut list = List::new();
    list.record_crash(poison(), first("a"), NOW);
    let second = Crash { born: 2, ..repeat("a") };
    assert_eq!(list.record_crash(poison(), second, later(4_000)), Effect::Quarantined);
}

#[test]
fn success_clears() {
    let mut list = List::new();
    list.record_crash(poison(), first("a"), NOW);
    assert!(list.clear(poison(), NOW.before(Duration::from_millis(1)), NOW).is_empty());
    assert_eq!(list.clear(poison(), later(1), later(2)), [Name::from("a")]);
    list.record_crash(poison(), repeat("b"), later(3));
    assert!(!list.is_quarantined(poison(), later(3)), "the first crash was cleared");
    list.record_crash(poison(), repeat("c"), later(4));
    list.clear(poison(), later(5), later(6));
    assert!(list.is_quarantined(poison(), later(6)), "a success does not end a quarantine");
}

/// A node that has not seen the success repeats the crash.
#[test]
fn cleared_stays_cleared() {
    let (mut list, mut other) = (List::new(), List::new());
    list.record_crash(poison(), first("a"), NOW);
    pass_on(&mut list, &mut other, NOW);
    list.clear(poison(), later(1), later(2));
    pass_on(&mut other, &mut list, later(3));
    assert!(list.crashed_servers(poison(), later(3)).is_empty());
}

/// A node that starts after the quarantine learns it from the next packet, at any time.
#[test]
fn later_node_learns() {
    let mut list = List::new();
    list.record_crash(poison(), first("a"), NOW);
    list.record_crash(poison(), repeat("b"), NOW);
    for second in (0..295).step_by(5) {
        let (now, mut started) = (later(second * 1_000), List::new());
        pass_on(&mut list, &mut started, now);
        assert!(started.is_quarantined(poison(), now), "{second} s later");
    }
}

/// A node that has just started learns of crashes that are older than its process.
#[test]
fn older_than_process() {
    let mut list = List::new();
    list.record_crash(poison(), first("a"), later(100_000));
    list.record_crash(poison(), first("b"), later(102_000));
    let news = list.next_news(later(200_000));
    let (mut started, now) = (List::new(), Time::from_millis(1));
    news.into_iter().for_each(|it| receive(&mut started, it, now));
    assert!(started.is_quarantined(poison(), now));
}

/// News of one fault reaches a frozen node, which reads it late, with ages that are too low.
#[test]
fn late_packet() {
    let (mut list, mut frozen) = (List::new(), List::new());
    list.record_crash(poison(), first("a"), NOW);
    let late = list.next_news(NOW);
    list.record_crash(poison(), first("b"), NOW);
    late.into_iter().for_each(|it| receive(&mut frozen, it, later(5_000)));
    pass_on(&mut list, &mut frozen, later(5_100));
    assert!(!frozen.is_quarantined(poison(), later(5_100)));
}

/// Suspects of a large fault do not delay what is quarantined.
#[test]
fn quarantined_first() {
    let mut list = List::new();
    for number in 0..500_u32 {
        let content = Fingerprint::new(&Name::from("rule"), &number.to_le_bytes());
        list.record_crash(content, first("a"), NOW);
    }
    list.record_crash(poison(), first("a"), NOW);
    list.record_crash(poison(), repeat("b"), NOW);
    let mut started = List::new();
    pass_on(&mut list, &mut started, NOW);
    assert!(started.is_quarantined(poison(), NOW));
}

#[test]
fn crashes_expire() {
    let seconds = |it: u64| later(it * 1_000);
    let mut list = List::new();
    list.record_crash(poison(), first("a"), NOW);
    list.record_crash(poison(), first("b"), seconds(200));
    assert!(list.is_quarantined(poison(), seconds(299)));
    assert!(!list.is_quarantined(poison(), seconds(300)));
    assert!(!list.is_empty(), "the second crash still counts");
    assert!(!list.is_quarantined(poison(), seconds(600)));
    assert!(list.next_news(seconds(600)).is_empty());
    assert!(list.is_empty());
}

/// Two nodes that repeat a crash to each other do not keep it beyond its time.
#[test]
fn repeated_crash_expires() {
    let (mut list, mut other) = (List::new(), List::new());
    list.record_crash(poison(), first("a"), NOW);
    for second in 0..301 {
        pass_on(&mut list, &mut other, later(second * 1_000));
        pass_on(&mut other, &mut list, later(second * 1_000 + 500));
    }
    assert!(list.is_empty() && other.is_empty());
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
