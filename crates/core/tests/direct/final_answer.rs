//! The final status, cell by cell of what may be known of the attempts.

use std::time::Duration;

use mimosabridge::scatter::{End, Evidence, Failure, Refusal, Verdict, settle};
use rstest::rstest;

const RETRY: Duration = Duration::from_millis(25);
const REFUSE: Verdict = Verdict::Refuse(Refusal { retry_after: RETRY });

fn evidence(ends: &[End], is_under_way: bool) -> Evidence {
    let mut evidence = Evidence { is_under_way, ..Evidence::default() };
    for end in ends {
        evidence.add(*end);
    }
    evidence
}

#[rstest]
#[case::nothing_sent(&[], REFUSE)]
#[case::shed(&[End::Shed], REFUSE)]
#[case::misdirected(&[End::Misdirected], REFUSE)]
#[case::unsent(&[End::Unsent], REFUSE)]
#[case::all_not_run(&[End::Shed, End::Unsent, End::Misdirected], REFUSE)]
#[case::broken(&[End::Broken], Verdict::Fail(Failure::Broken))]
#[case::invalid(&[End::Invalid], Verdict::Fail(Failure::Broken))]
#[case::silent(&[End::Silent], Verdict::Fail(Failure::Broken))]
#[case::failed(&[End::Failed], Verdict::Fail(Failure::Broken))]
#[case::one_ran(&[End::Shed, End::Broken], Verdict::Fail(Failure::Broken))]
fn refused_only_if_not_run(#[case] ends: &[End], #[case] expected: Verdict) {
    assert_eq!(settle(evidence(ends, false), false, RETRY), expected);
}

#[rstest]
#[case::in_time(false, Failure::Broken)]
#[case::late(true, Failure::TimedOut)]
fn under_way(#[case] is_late: bool, #[case] failure: Failure) {
    let settled = settle(evidence(&[End::Shed], true), is_late, RETRY);
    assert_eq!(settled, Verdict::Fail(failure));
}

#[test]
fn failure_passed_on() {
    let mut evidence = evidence(&[End::Failed], false);
    evidence.failure = Some(0);
    assert_eq!(settle(evidence, false, RETRY), Verdict::Pass(0));
}
