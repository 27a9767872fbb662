//! The estimate of how many nodes share the servers.

use mimosabridge::member::SizeEstimator;

use crate::fixture::at;

/// When 91 nodes start at once, as after a power failure, and each takes the share of a fleet of 16
/// for six seconds, they open more connections than servers accept.
#[test]
fn more_nodes_count_at_once() {
    let estimator = SizeEstimator::new(at(0));
    assert_eq!(estimator.estimate(40, 16, at(900)), 40);
    assert_eq!(estimator.estimate(91, 40, at(1_800)), 91);
}

#[test]
fn fewer_nodes_count_later() {
    let estimator = SizeEstimator::new(at(0));
    assert_eq!(estimator.estimate(3, 16, at(5_900)), 16, "other nodes may not be discovered yet");
    assert_eq!(estimator.estimate(9, 16, at(6_100)), 9);
}

#[test]
fn lone_node_keeps_assumption() {
    let estimator = SizeEstimator::new(at(0));
    assert_eq!(estimator.estimate(1, 16, at(60_000)), 16);
}
