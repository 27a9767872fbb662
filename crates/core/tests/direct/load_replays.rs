//! Replays recorded arrivals of callers, at the nodes that they reached.

use std::time::Duration;

use rstest::rstest;

use crate::{load_patterns::TARGET, model::Simulation};

/// The times between callers, in milliseconds.
const GAP_MILLIS: [u64; 16] = [3, 22, 9, 1, 30, 14, 6, 19, 2, 41, 8, 5, 17, 11, 4, 16];

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
