//! Injects every fault at every step of a query, alone and in pairs.

use rstest::rstest;

use crate::simulation::{Fault, Simulation, Step};

/// The number of event orders that are tried for each fault at each step.
const SEEDS: u64 = 20;

/// A retry budget that can replace all attempts lost with a gate, at the request rate of the
/// environment.
const LARGE_BUDGET: u32 = 100;

#[rstest]
fn single_faults(
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
        let simulations = (0..SEEDS).map(|seed| simulate(seed, idempotent, vec![(fault, step)]));
        let injected = simulations.filter(|it| it.faults.is_empty()).count();
        assert!(fault.is_permanent() || injected > 0, "{fault:?} was never injected at {step:?}");
    }
}

#[rstest]
fn fault_pairs(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14)] first: usize,
    #[values(true, false)] idempotent: bool,
) {
    let first = Fault::ALL[first];
    for (number, second) in Fault::ALL.into_iter().enumerate() {
        for (one, other) in step_pairs(first, second) {
            simulate(number as u64, idempotent, vec![(first, one), (second, other)]);
        }
    }
}

/// Answers stay complete under faults that other servers and gates can compensate for.
#[rstest]
#[case::none(vec![])]
#[case::server_leaves(vec![Fault::ServerLeaves])]
#[case::gate_stops(vec![Fault::GateStops])]
#[case::data_centre_out(vec![Fault::DataCentreCloses])]
#[case::doubled(vec![Fault::Duplicated])]
#[case::server_crash(vec![Fault::ServerCrash])]
#[case::gate_crash(vec![Fault::GateCrash])]
#[case::connection_silent(vec![Fault::ConnectionSilent])]
fn complete_answers(#[case] faults: Vec<Fault>) {
    for step in Step::ALL {
        for seed in 0..SEEDS {
            let faults = faults.iter().filter(|it| it.applies_at(step)).map(|it| (*it, step));
            let mut simulation =
                Simulation::new(seed, true, faults.collect()).with_budget(LARGE_BUDGET);
            simulation.run();
            assert_eq!(
                simulation.incomplete_answers(),
                Vec::<String>::new(),
                "{step:?}, seed {seed}"
            );
        }
    }
}

/// A refused attempt did not run, so that even a non-idempotent request is retried elsewhere.
#[rstest]
fn refusals_retried(
    #[values(Fault::ServerLeaves, Fault::GateStops, Fault::DataCentreCloses)] fault: Fault,
) {
    for step in Step::ALL {
        for seed in 0..SEEDS {
            let simulation = simulate(seed, false, vec![(fault, step)]);
            assert_eq!(
                simulation.incomplete_answers(),
                Vec::<String>::new(),
                "{step:?}, seed {seed}"
            );
        }
    }
}

fn simulate(seed: u64, idempotent: bool, faults: Vec<(Fault, Step)>) -> Simulation {
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
