//! Replays recorded arrivals of callers, at the nodes that they reached.

use std::time::Duration;

use rstest::rstest;

use crate::{
    load_patterns::TARGET,
    model::{Simulation, Tally},
};

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

/// Returns callers at nodes in turn, `per_second` of them for some seconds.
fn callers(
    per_second: u64,
    seconds: u64,
    nodes: impl Fn(usize) -> usize,
) -> Vec<(Duration, usize)> {
    let all: u64 = GAP_MILLIS.iter().sum();
    let scale = 1e6 / per_second as f64 * GAP_MILLIS.len() as f64 / all as f64;
    let mut micros = 0.0;
    let count = (per_second * seconds) as usize;
    let arrivals = GAP_MILLIS.iter().cycle().take(count).enumerate().map(|(number, gap)| {
        micros += *gap as f64 * scale;
        (Duration::from_micros(micros as u64), nodes(number))
    });
    arrivals.collect()
}

/// Load pattern: the callers of all zones come to the nodes of one, and go back.
#[rstest]
fn zone_shift(#[values(57, 58, 59)] seed: u64) {
    let mut simulation = Simulation::new(9, seed, |_| {});
    let nodes: [fn(usize) -> usize; 3] = [|it| it % 9, |it| it % 3 * 3, |it| it % 9];
    for nodes in nodes {
        let tally = simulation.replay(&callers(135, 4, nodes));
        println!("{tally:?}");
        assert!(tally.score() > TARGET, "{tally:?}");
    }
}

/// Load pattern: a zone is lost with its nodes and servers, and comes back with all its callers.
#[rstest]
fn zone_out_and_back(#[values(63, 64, 65)] seed: u64) {
    let mut simulation = Simulation::new(9, seed, |_| {});
    let all = |it| it % 9;
    // The zone of every third node, from the second on.
    let others = |it: usize| it % 9 / 3 * 3 + it % 2 * 2;
    for is_out in [false, true, false] {
        for server in simulation.servers_in("b") {
            server.is_down = is_out;
        }
        let arrivals = if is_out { callers(135, 4, others) } else { callers(135, 4, all) };
        let tally = simulation.replay(&arrivals);
        println!("{tally:?}");
        assert!(tally.score() > TARGET, "{tally:?}");
    }
}
