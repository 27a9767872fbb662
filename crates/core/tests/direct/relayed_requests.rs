//! A relayed request is not repeated, nor called not run, if it may have run.

use mimosabridge::{
    plan::Repeat,
    reach::{Ending, Relay, Step},
    scatter::Failure,
};
use rstest::rstest;

/// Returns what a request leads to at nodes that end it in this way, one after the other.
fn steps(repeat: Repeat, endings: &[Ending]) -> Vec<Step> {
    let mut relay = Relay::new(repeat);
    endings.iter().map(|it| relay.on_end(*it)).collect()
}

const BROKEN: Step = Step::Fail(Failure::Broken);

#[rstest]
#[case(Repeat::Once, &[Ending::NotServed, Ending::Answered], Step::Pass)]
#[case(Repeat::Once, &[Ending::NotServed, Ending::Refused], Step::Pass)]
#[case(Repeat::Once, &[Ending::Broken], BROKEN)]
#[case(Repeat::Once, &[Ending::Silent], Step::Fail(Failure::TimedOut))]
#[case(Repeat::Once, &[Ending::NotServed; 3], Step::Keep)]
#[case(Repeat::Idempotent, &[Ending::Broken, Ending::Answered], Step::Pass)]
#[case(Repeat::Idempotent, &[Ending::Broken, Ending::Refused], BROKEN)]
#[case(Repeat::Idempotent, &[Ending::Broken, Ending::NotServed, Ending::NotServed], BROKEN)]
fn last_step(#[case] repeat: Repeat, #[case] endings: &[Ending], #[case] expected: Step) {
    let steps = steps(repeat, endings);
    let (last, before) = steps.split_last().expect("there is an ending");
    assert_eq!(*last, expected);
    assert!(before.iter().all(|it| *it == Step::Another), "{before:?}");
}

/// No other node is left after one has broken off.
#[test]
fn broken_not_refused() {
    let mut relay = Relay::new(Repeat::Idempotent);
    assert_eq!(relay.give_up(), Step::Keep);
    relay.on_end(Ending::Broken);
    assert_eq!(relay.give_up(), BROKEN);
}
