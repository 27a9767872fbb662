//! What a node that stops expects of requests whose rule it has not served lately.

use std::time::Duration;

use mimosabridge::{
    balance::{Balancer, Observation},
    name::Name,
    plan::{Repeat, Rule, Target},
    reach::Latencies,
    stop::Stop,
    time::Time,
};
use rstest::rstest;

use crate::fixture::{at, rule, settings};

const FAST_MILLIS: u64 = 20;
const SLOW_MILLIS: u64 = 1_300;

/// How long after the beginning of a stop with 6 s there is time for a request that takes as long as
/// the rule should, and none for a slow one, which may run only once.
const LATE_MILLIS: u64 = 4_000;

/// Two windows of latencies, and more.
const LONG_MILLIS: u64 = 40_000;

/// A node that serves requests of one rule, or has others serve them.
struct Node {
    balancer: Balancer,
    relayed: Latencies,
    rule: Rule,
}

impl Node {
    fn new() -> Node {
        let rule = rule("one", Target::One(Name::new("one")));
        let rule = Rule { repeat: Repeat::Once, timeout: Duration::from_secs(10), ..rule };
        Node { balancer: Balancer::new(settings(), 7), relayed: Latencies::new(), rule }
    }

    /// Records a request that a server has served.
    fn serve(&mut self, millis: u64, end: Time) {
        let (server, sent) = (Name::new("i-1"), end.before(Duration::from_millis(millis)));
        let served = Observation::Served;
        self.balancer.on_end(&server, &self.rule, sent, served, Duration::ZERO, end);
    }

    /// Records a request that another node has served.
    fn relay(&mut self, millis: u64, end: Time) {
        self.relayed.record(&self.rule.name, Duration::from_millis(millis), end);
    }

    /// Returns whether a request is taken late in a stop that begins at `began`. `is_lost` says that the
    /// node reaches no server.
    fn admits(&mut self, is_lost: bool, began: Time) -> bool {
        let now = began + Duration::from_millis(LATE_MILLIS);
        let relayed = self.relayed.longest(&self.rule.name, is_lost, now);
        let longest = self.balancer.longest_latency(&self.rule, now).max(relayed);
        let stop = Stop::new(Duration::from_secs(6), began);
        stop.admits(&self.rule, longest, Duration::from_secs(10), now)
    }
}

/// Guards against requests that are refused since other nodes were slow long ago.
#[test]
fn slow_relay_kept() {
    let mut node = Node::new();
    (0..5).for_each(|it| node.relay(SLOW_MILLIS, at(it)));
    node.serve(FAST_MILLIS, at(100));
    assert!(!node.admits(false, at(0)), "the node may lose the servers again");
    assert!(node.admits(false, at(LONG_MILLIS)));
}

/// Guards against requests of a rare rule that are refused since a single one was slow.
#[rstest]
#[case::nothing_since(&[])]
#[case::one_since(&[LONG_MILLIS + 3_000])]
fn slow_request_kept(#[case] later: &[u64]) {
    let mut node = Node::new();
    (0..10).for_each(|it| node.serve(FAST_MILLIS, at(it)));
    node.serve(SLOW_MILLIS, at(10));
    assert!(!node.admits(false, at(0)));
    later.iter().for_each(|it| node.serve(FAST_MILLIS, at(*it)));
    assert!(node.admits(false, at(LONG_MILLIS)));
}

/// Guards against a request of a rare rule that is taken as if it took no time.
#[rstest]
#[case::one(&[SLOW_MILLIS])]
#[case::some(&[SLOW_MILLIS, SLOW_MILLIS, FAST_MILLIS])]
fn rare_rule_cut(#[case] latencies: &[u64]) {
    let mut node = Node::new();
    latencies.iter().for_each(|it| node.serve(*it, at(0)));
    assert!(!node.admits(false, at(1_000 * LONG_MILLIS)));
}

/// Guards against a request that is taken as if it took no time, since the node that reaches no server
/// has long had none served by others.
#[test]
fn rare_relay_cut() {
    let mut node = Node::new();
    node.relay(SLOW_MILLIS, at(0));
    assert!(!node.admits(true, at(1_000 * LONG_MILLIS)));
}

/// A slow request counts for the rest of its window and the next one.
#[test]
fn slow_request_counts() {
    let mut node = Node::new();
    (0..10).for_each(|it| node.serve(FAST_MILLIS, at(it)));
    node.serve(SLOW_MILLIS, at(9_000));
    (0..50).for_each(|it| node.serve(FAST_MILLIS, at(11_000 + it)));
    assert!(!node.admits(false, at(10_000 - LATE_MILLIS)));
    assert!(!node.admits(false, at(19_000 - LATE_MILLIS)));
    assert!(node.admits(false, at(22_000 - LATE_MILLIS)));
}
