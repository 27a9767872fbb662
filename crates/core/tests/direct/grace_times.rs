//! Grace times that change while a process runs.

use std::time::Duration;

use mimosabridge::stop::Grace;
use rstest::rstest;

#[rstest]
#[case::unchanged(&[], 6)]
#[case::shorter(&[3], 3)]
#[case::longer(&[9], 6)]
#[case::restored(&[3, 6], 6)]
#[case::back_to_longer(&[3, 9], 6)]
fn smaller_counts(#[case] updates: &[u64], #[case] seconds: u64) {
    let mut grace = Grace::new(Duration::from_secs(6));
    for update in updates {
        grace.update(Duration::from_secs(*update));
    }
    assert_eq!(grace.time(), Duration::from_secs(seconds));
}
