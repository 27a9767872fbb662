//! The final answer to a request without a successful attempt, for each way its attempts can end.

use std::time::Duration;

use mimosabridge::scatter::{End, Evidence, Failure, Refusal, Verdict, unserved_verdict};
use rstest::rstest;

const RETRY_AFTER: Duration = Duration::from_millis(25);
const REFUSE: Verdict = Verdict::Refuse(Refusal { retry_after: RETRY_AFTER });

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
    assert_eq!(unserved_verdict(evidence(ends, false), false, RETRY_AFTER), expected);
}

#[rstest]
#[case::in_time(false, Failure::Broken)]
#[case::late(true, Failure::TimedOut)]
fn attempt_under_way(#[case] is_late: bool, #[case] failure: Failure) {
    let verdict = unserved_verdict(evidence(&[End::Shed], true), is_late, RETRY_AFTER);
    assert_eq!(verdict, Verdict::Fail(failure));
}

#[test]
fn failure_passed_on() {
    let mut evidence = evidence(&[End::Failed], false);
    evidence.failure = Some(0);
    assert_eq!(unserved_verdict(evidence, false, RETRY_AFTER), Verdict::Pass(0));
}
