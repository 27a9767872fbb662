//! Replays recorded arrivals of callers, at the nodes that they reached.

use std::time::Duration;

use rstest::rstest;

use crate::model::{Simulation, Tally};

/// The nodes of a site whose servers accept so few connections that a node has one to each.
const CROWDED_NODES: usize = 46;

/// The arrivals of a burst at one node, in milliseconds.
const BURST_MILLIS: [u64; 6] = [0, 1, 1, 3, 4, 6];

/// The times between callers of a busy node, in milliseconds.
const GAP_MILLIS: [u64; 16] = [3, 22, 9, 1, 30, 14, 6, 19, 2, 41, 8, 5, 17, 11, 4, 16];

/// How often requests look for a connection in a replay without wake-ups.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Returns 100 bursts, each at the next node.
fn bursts() -> Vec<(Duration, usize)> {
    let burst = |it: usize| BURST_MILLIS.map(|after| (100 * it as u64 + after, it % CROWDED_NODES));
    let arrivals = (0..100).flat_map(burst);
    arrivals.map(|it| (Duration::from_millis(it.0), it.1)).collect()
}

/// Returns 800 callers of one node, which can serve a fifth more.
fn busy_node() -> Vec<(Duration, usize)> {
    let mut millis = 0;
    let gaps = GAP_MILLIS.iter().cycle().take(800);
    let arrivals = gaps.map(|it| {
        millis += it;
        (Duration::from_millis(millis), 0)
    });
    arrivals.collect()
}

/// Returns the sum of the outcomes of some simulations.
fn sum(tallies: impl Iterator<Item = Tally>) -> Tally {
    let add = |mut all: Tally, it: Tally| {
        all.requests += it.requests;
        all.credit += it.credit;
        all.late += it.late;
        all.refused += it.refused;
        all.failed += it.failed;
        all.extras += it.extras;
        all
    };
    tallies.fold(Tally::default(), add)
}

/// Load pattern: callers come in bursts to one of many nodes, each of which may open one connection to a
/// server. The servers are idle, and connections are free again in time for most callers.
#[rstest]
#[case::bursts(bursts())]
#[case::busy_node(busy_node())]
fn crowded_nodes(#[case] arrivals: Vec<(Duration, usize)>) {
    let run = |seed, polls| {
        let mut simulation = Simulation::new(CROWDED_NODES, seed, |_| {});
        simulation.polls = polls;
        simulation.run(110.0, Duration::from_secs(6));
        simulation.replay(&arrivals)
    };
    let all = |polls| sum((41..47).map(|it| run(it, polls)));
    let (with, without) = (all(None), all(Some(POLL_INTERVAL)));
    println!("woken {with:?}\npolling {without:?}");
    assert!(with.score() > without.score(), "{with:?} against {without:?} without wake-ups");
    let unserved = |it: Tally| it.refused + it.failed;
    assert!(unserved(with) <= unserved(without), "{with:?} against {without:?} without wake-ups");
}
