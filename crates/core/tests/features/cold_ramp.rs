//! The concurrency limit of a server rises with successful requests and falls if the server may be
//! cold.

use std::time::Duration;

use mimosabridge::{
    gate::{Condition, Limiter, Rank, Report, Settings},
    outcome::Trust,
    time::Time,
};
use rstest::rstest;

const SLOTS: u32 = 6;
const USUAL: Duration = Duration::from_millis(5);

fn report(condition: Condition, running: u32) -> Report {
    Report { boot: 1, condition, running }
}

fn serve(limiter: &mut Limiter, count: u32, latency: Duration, now: &mut Time) {
    for _ in 0..count {
        *now = *now + latency;
        limiter.on_served(latency, *now, &Settings::new());
    }
}

fn warm_limiter(now: &mut Time) -> Limiter {
    let mut limiter = Limiter::new(SLOTS, Rank::Primary);
    serve(&mut limiter, 4 * SLOTS, USUAL, now);
    assert_eq!((limiter.limit(*now), limiter.trust()), (SLOTS, Trust::Warm));
    limiter
}

#[test]
fn one_by_one() {
    let settings = Settings::new();
    let mut now = Time::from_millis(1);
    let mut limiter = Limiter::new(SLOTS, Rank::Primary);
    assert_eq!(limiter.limit(now), 1);
    for limit in 1..SLOTS {
        serve(&mut limiter, settings.ramp_successes - 1, USUAL, &mut now);
        assert_eq!(limiter.limit(now), limit);
        serve(&mut limiter, 1, USUAL, &mut now);
        assert_eq!(limiter.limit(now), limit + 1);
    }
    serve(&mut limiter, 100, USUAL, &mut now);
    assert_eq!(limiter.limit(now), SLOTS, "the limit does not exceed the slots");
}

#[test]
fn standby_share() {
    let mut now = Time::from_millis(1);
    let mut limiter = Limiter::new(SLOTS, Rank::Standby);
    serve(&mut limiter, 100, USUAL, &mut now);
    assert_eq!(limiter.limit(now), 2, "a third of the slots");
    limiter.set_share(SLOTS, Rank::Primary);
    assert_eq!(limiter.limit(now), 1, "a gate that takes over starts at one");
}

#[rstest]
#[case::reports_cold(report(Condition::Cold, 0))]
#[case::restarted(Report { boot: 2, ..report(Condition::Warm, 0) })]
fn report_lowers(#[case] cold: Report) {
    let settings = Settings::new();
    let mut now = Time::from_millis(1);
    let mut limiter = warm_limiter(&mut now);
    limiter.on_report(&report(Condition::Warm, 0), 0, now, &settings);
    assert_eq!(limiter.limit(now), SLOTS);
    limiter.on_report(&cold, 0, now, &settings);
    assert_eq!((limiter.limit(now), limiter.trust()), (1, Trust::Cold));
}

#[test]
fn report_never_raises() {
    let settings = Settings::new();
    let now = Time::from_millis(1);
    let mut limiter = Limiter::new(SLOTS, Rank::Primary);
    for _ in 0..100 {
        limiter.on_report(&report(Condition::Warm, 0), 0, now, &settings);
    }
    assert_eq!(limiter.limit(now), 1);
}

#[test]
fn unreported_cold() {
    let settings = Settings::new();
    let mut now = Time::from_millis(1);
    let mut limiter = warm_limiter(&mut now);
    serve(&mut limiter, settings.slow_streak - 1, USUAL * 8, &mut now);
    assert_eq!(limiter.limit(now), SLOTS, "a few slow replies do not lower the limit");
    serve(&mut limiter, 1, USUAL * 8, &mut now);
    assert_eq!(limiter.limit(now), 1);
    serve(&mut limiter, 20, USUAL * 4, &mut now);
    assert_eq!(limiter.limit(now), 1, "slow replies do not raise the limit");
    serve(&mut limiter, 4, USUAL, &mut now);
    assert_eq!(limiter.limit(now), 2);
}

#[test]
fn straggler_ignored() {
    let mut now = Time::from_millis(1);
    let mut limiter = warm_limiter(&mut now);
    for _ in 0..50 {
        serve(&mut limiter, 1, USUAL * 10, &mut now);
        serve(&mut limiter, 10, USUAL, &mut now);
    }
    assert_eq!(limiter.limit(now), SLOTS);
}

#[test]
fn foreign_load() {
    let settings = Settings::new();
    let mut now = Time::from_millis(1);
    let mut limiter = warm_limiter(&mut now);
    limiter.on_report(&report(Condition::Warm, 5), 1, now, &settings);
    assert_eq!(limiter.limit(now), 2, "four slots are occupied by others");
    limiter.on_report(&report(Condition::Warm, 60), 1, now, &settings);
    assert_eq!(limiter.limit(now), 1, "the limit of a primary is at least one");
    now = now + settings.foreign_ttl;
    assert_eq!(limiter.limit(now), SLOTS, "the report has expired");
}

#[test]
fn standby_yields() {
    let settings = Settings::new();
    let now = Time::from_millis(1);
    let mut limiter = Limiter::new(3, Rank::Standby);
    limiter.on_report(&report(Condition::Cold, 3), 0, now, &settings);
    assert_eq!(limiter.limit(now), 0, "the primary occupies all slots");
}

#[test]
fn idle_restarts() {
    let settings = Settings::new();
    let mut now = Time::from_millis(1);
    let mut limiter = warm_limiter(&mut now);
    limiter.on_tick(now + settings.idle_after, &settings);
    assert_eq!(limiter.limit(now), SLOTS);
    limiter.on_tick(now + settings.idle_after + Duration::from_micros(1), &settings);
    assert_eq!(limiter.limit(now), 1);
}

#[test]
fn shed_lowers() {
    let mut now = Time::from_millis(1);
    let mut limiter = warm_limiter(&mut now);
    limiter.on_shed(now);
    assert_eq!(limiter.limit(now), 4);
    for _ in 0..10 {
        limiter.on_shed(now);
    }
    assert_eq!(limiter.limit(now), 1);
}
