//! Phases of a planned stop.

use std::time::Duration;

use mimosabridge::{
    name::Name,
    plan::{Repeat, Rule, Target},
    reach::Latencies,
    stop::{Load, Phase, Stop},
};
use rstest::rstest;

use crate::fixture::{at, rule};

fn stop() -> Stop {
    Stop::new(Duration::from_secs(6), at(0))
}

fn load(requests: usize) -> Load {
    Load { requests, connections: requests, listeners: 0 }
}

#[test]
fn still_serves() {
    let mut stop = stop();
    assert_eq!(
        stop.phase(load(0), at(0)),
        Phase::Leaving,
        "the load balancer may still route requests to the node"
    );
    assert_eq!(stop.phase(load(0), at(2_000)), Phase::Leaving);
}

#[test]
fn ends_when_quiet() {
    assert_eq!(stop().phase(load(0), at(2_600)), Phase::Ended);
    let mut stop = stop();
    stop.on_request(at(2_400));
    assert_eq!(stop.phase(load(0), at(2_600)), Phase::Leaving, "a request has just arrived");
    assert_eq!(stop.phase(load(1), at(3_500)), Phase::Leaving, "a request is running");
}

#[test]
fn ends_in_time() {
    let mut stop = stop();
    assert_eq!(stop.phase(load(5), at(4_700)), Phase::Closing);
    assert_eq!(stop.phase(load(5), at(5_860)), Phase::Ended);
    assert!(stop.end() <= at(5_850), "the process takes time to end before it is killed");
    assert!(stop.answers_due() < stop.end(), "the last answers take time to send");
}

/// Guards against a process that ends while an answer is still being sent.
#[test]
fn answer_cut_while_sent() {
    let mut stop = stop();
    let sending = Load { requests: 0, connections: 1, listeners: 0 };
    assert_eq!(stop.phase(sending, at(2_600)), Phase::Closing);
    stop.on_request(at(2_700));
    assert_eq!(stop.phase(load(1), at(2_700)), Phase::Closing, "a request crossed the close");
    assert_eq!(stop.phase(sending, at(5_600)), Phase::Closing);
    assert_eq!(stop.phase(load(0), at(5_600)), Phase::Ended);
}

/// Guards against a process that ends with answers unsent though there is time to send them.
#[test]
fn ended_too_soon() {
    let mut stop = stop();
    assert_eq!(stop.phase(load(1), at(5_600)), Phase::Closing);
    assert_eq!(stop.phase(load(1), at(5_650)), Phase::Sending, "the other nodes are told");
    let sending = Load { requests: 0, connections: 1, listeners: 0 };
    assert_eq!(stop.phase(sending, at(5_840)), Phase::Sending);
    assert_eq!(stop.phase(load(0), at(5_840)), Phase::Ended);
}

/// A process with a short grace time ends before it is killed, too.
#[test]
fn ends_in_short_time() {
    let stop = Stop::new(Duration::from_secs(1), at(0));
    assert!(stop.answers_due() < stop.end());
    assert!(stop.end() <= at(940));
}

/// Guards against a process that ends with connections in the queue of a listener.
#[test]
fn queue_reset() {
    let mut stop = stop();
    assert_eq!(stop.phase(Load { listeners: 1, ..load(0) }, at(2_600)), Phase::Closing);
    assert_eq!(stop.phase(load(0), at(2_650)), Phase::Ended);
}

/// Guards against requests that are taken though the process ends before their answer.
#[rstest]
#[case::short(Repeat::Idempotent, 50, 15_000, 5_150)]
#[case::long(Repeat::Idempotent, 1_300, 15_000, 4_050)]
#[case::once(Repeat::Once, 1_300, 15_000, 2_750)]
#[case::soon_over(Repeat::Once, 1_300, 100, 5_250)]
fn late_request_taken(
    #[case] repeat: Repeat,
    #[case] longest: u64,
    #[case] timeout: u64,
    #[case] last: u64,
) {
    let rule = Rule { repeat, timeout: Duration::from_secs(10), ..one() };
    let is_admitted = |now| {
        let (longest, timeout) = (Duration::from_millis(longest), Duration::from_millis(timeout));
        stop().admits(&rule, longest, timeout, at(now))
    };
    assert!(is_admitted(0));
    assert!(is_admitted(last), "there is time for the answer");
    assert!(!is_admitted(last + 100), "the answer would come too late");
    assert!(!is_admitted(7_000));
}

/// Guards against requests that a node takes late in its stop though others, which serve them in its
/// place, need longer.
#[test]
fn late_relay_taken() {
    let mut relayed = Latencies::new();
    relayed.record(&Name::new("one"), Duration::from_millis(1_300), at(0));
    let rule = Rule { repeat: Repeat::Once, timeout: Duration::from_secs(10), ..one() };
    let longest = relayed.longest(&rule.name, true, at(0));
    let is_admitted = |now| stop().admits(&rule, longest, rule.timeout, at(now));
    assert!(is_admitted(2_750) && !is_admitted(2_850));
    assert!(relayed.longest(&Name::new("other"), true, at(0)).is_zero());
}

/// A refused caller returns once the load balancer sends it elsewhere.
#[test]
fn refused_until_elsewhere() {
    assert_eq!(stop().retry_after(at(1_000)), Duration::from_millis(1_500));
    assert_eq!(stop().retry_after(at(4_000)), Duration::ZERO);
}

fn one() -> Rule {
    rule("one", Target::One(Name::new("one")))
}
