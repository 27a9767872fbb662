//! A relayed request is not repeated, nor called not run, if it may have run.

use mimosabridge::{
    reach::{Ending, Relay, Step},
    scatter::Failure,
};
use rstest::rstest;

#[rstest]
#[case(&[Ending::NotServed, Ending::Answered], Step::Pass)]
#[case(&[Ending::NotServed, Ending::Refused], Step::Pass)]
#[case(&[Ending::Broken], Step::Fail(Failure::Broken))]
#[case(&[Ending::NotServed, Ending::Broken], Step::Fail(Failure::Broken))]
#[case(&[Ending::Silent], Step::Fail(Failure::TimedOut))]
#[case(&[Ending::NotServed; 3], Step::Keep)]
fn last_step(#[case] endings: &[Ending], #[case] expected: Step) {
    let mut relay = Relay::new();
    let steps: Vec<_> = endings.iter().map(|it| relay.on_end(*it)).collect();
    let (last, before) = steps.split_last().expect("there is an ending");
    assert_eq!(*last, expected);
    assert!(before.iter().all(|it| *it == Step::Another), "{before:?}");
}

/// Guards against a request that runs on more servers of a shard than its rule allows: a node broke
/// off after it had asked as many, and the next one asked others.
#[test]
fn broken_not_repeated() {
    assert_eq!(Relay::new().on_end(Ending::Broken), Step::Fail(Failure::Broken));
}

/// Guards against a caller that is told to come back though another node can serve its request: the
/// first one closed the connection in a planned stop.
#[rstest]
#[case::closed(408, false, false, Ending::NotServed)]
#[case::named(408, false, true, Ending::Answered)]
#[case::not_served(503, true, true, Ending::NotServed)]
#[case::refused(503, false, true, Ending::Refused)]
#[case::earlier_build(503, false, false, Ending::Refused)]
#[case::answered(200, false, false, Ending::Answered)]
fn close_notice_passed(
    #[case] status: u16,
    #[case] is_marked: bool,
    #[case] is_named: bool,
    #[case] expected: Ending,
) {
    assert_eq!(Ending::of_answer(status, is_marked, is_named), expected);
}
