//! Phases of a planned stop.

use std::time::Duration;

use mimosabridge::stop::{Phase, Stop};

use crate::fixture::at;

fn stop() -> Stop {
    Stop::new(Duration::from_secs(6), at(0))
}

#[test]
fn still_serves() {
    let stop = stop();
    assert_eq!(
        stop.phase(0, at(0)),
        Phase::Leaving,
        "the load balancer may still route requests to the node"
    );
    assert_eq!(stop.phase(0, at(2_000)), Phase::Leaving);
}

#[test]
fn ends_when_quiet() {
    let mut stop = stop();
    assert_eq!(stop.phase(0, at(2_600)), Phase::Ended);
    stop.on_request(at(2_400));
    assert_eq!(stop.phase(0, at(2_600)), Phase::Leaving, "a request has just arrived");
    assert_eq!(stop.phase(1, at(3_500)), Phase::Leaving, "a request is running");
}

#[test]
fn ends_in_time() {
    let stop = stop();
    assert_eq!(stop.phase(5, at(4_700)), Phase::Closing);
    assert_eq!(stop.phase(5, at(5_700)), Phase::Ended);
    assert!(stop.end() < at(6_000), "before the process is killed");
}
