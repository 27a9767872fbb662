//! Exit codes and printed lines of faults.

use mimosabridge_cli::{ExitCode, Fault};
use rstest::rstest;
use snafu::ResultExt;

#[rstest]
#[case::options(Fault::Options { findings: vec!["`--x` is wrong".into()] }, ExitCode::Usage)]
#[case::work(Fault::Work { message: "it failed".into(), source: None }, ExitCode::Failure)]
fn code_of_fault(#[case] fault: Fault, #[case] expected: ExitCode) {
    assert_eq!(fault.code(), expected);
    assert!(!fault.lines().is_empty());
}

#[test]
fn cause_included() {
    let failed: Result<(), Fault> =
        "x".parse::<u8>().map(drop).whatever_context("the number cannot be read");
    let lines = failed.expect_err("x is not a number").lines();
    assert_eq!(lines, ["the number cannot be read: invalid digit found in string"]);
}
