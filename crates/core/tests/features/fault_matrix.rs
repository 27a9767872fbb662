//! Every fault at every step of a query, alone and in pairs.

use rstest::rstest;

use crate::simulation::{Fault, Simulation, Step};

/// Orders of events that are tried for each fault at each step.
const SEEDS: u64 = 20;

/// A budget that can make good the loss of a gate at the rate of requests of the environment.
const WIDE_BUDGET: u32 = 100;

#[rstest]
fn promises_hold(
    #[values(
        Fault::ServerCrash,
        Fault::ServerLeaves,
        Fault::ServerTurnsCold,
        Fault::ServerHidesCold,
        Fault::ServerDropsSnapshot,
        Fault::ServerAnswersOther,
        Fault::ConnectionSilent,
        Fault::GateCrash,
        Fault::GateStops,
        Fault::GatePauses,
        Fault::EntryPauses,
        Fault::DataCentreCloses,
        Fault::CallerCancels,
        Fault::Duplicated,
        Fault::Delayed
    )]
    fault: Fault,
    #[values(true, false)] idempotent: bool,
) {
    for step in Step::ALL.into_iter().filter(|it| fault.applies_at(*it)) {
        let simulations = (0..SEEDS).map(|seed| play(seed, idempotent, vec![(fault, step)]));
        let came = simulations.filter(|it| it.faults.is_empty()).count();
        assert!(fault.is_permanent() || came > 0, "{fault:?} never came at {step:?}");
    }
}

#[rstest]
fn pairs_hold(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14)] first: usize,
    #[values(true, false)] idempotent: bool,
) {
    let first = Fault::ALL[first];
    for (number, second) in Fault::ALL.into_iter().enumerate() {
        for (one, other) in step_pairs(first, second) {
            play(number as u64, idempotent, vec![(first, one), (second, other)]);
        }
    }
}

/// A fault that others make good leaves every answer whole.
#[rstest]
#[case::none(vec![])]
#[case::server_leaves(vec![Fault::ServerLeaves])]
#[case::gate_stops(vec![Fault::GateStops])]
#[case::data_centre_out(vec![Fault::DataCentreCloses])]
#[case::doubled(vec![Fault::Duplicated])]
#[case::server_crash(vec![Fault::ServerCrash])]
#[case::gate_crash(vec![Fault::GateCrash])]
#[case::connection_silent(vec![Fault::ConnectionSilent])]
fn answers_whole(#[case] faults: Vec<Fault>) {
    for step in Step::ALL {
        for seed in 0..SEEDS {
            let faults = faults.iter().filter(|it| it.applies_at(step)).map(|it| (*it, step));
            let mut simulation =
                Simulation::new(seed, true, faults.collect()).with_budget(WIDE_BUDGET);
            simulation.run();
            assert_eq!(
                simulation.incomplete_answers(),
                Vec::<String>::new(),
                "{step:?}, seed {seed}"
            );
        }
    }
}

/// Refusals cost a non-idempotent request nothing: it goes on elsewhere.
#[rstest]
fn refusals_retried(
    #[values(Fault::ServerLeaves, Fault::GateStops, Fault::DataCentreCloses)] fault: Fault,
) {
    for step in Step::ALL {
        for seed in 0..SEEDS {
            let simulation = play(seed, false, vec![(fault, step)]);
            assert_eq!(
                simulation.incomplete_answers(),
                Vec::<String>::new(),
                "{step:?}, seed {seed}"
            );
        }
    }
}

fn play(seed: u64, idempotent: bool, faults: Vec<(Fault, Step)>) -> Simulation {
    let mut simulation = Simulation::new(seed, idempotent, faults.clone());
    simulation.run();
    let broken = simulation.violations();
    assert!(broken.is_empty(), "{faults:?}, seed {seed}: {broken:#?}");
    simulation
}

fn step_pairs(first: Fault, second: Fault) -> impl Iterator<Item = (Step, Step)> {
    let firsts = Step::ALL.into_iter().filter(move |it| first.applies_at(*it));
    firsts.flat_map(move |one| {
        let seconds = Step::ALL.into_iter().filter(move |it| second.applies_at(*it));
        seconds.map(move |other| (one, other))
    })
}
