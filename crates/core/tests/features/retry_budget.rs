//! The budget that retries and hedges share.

use mimosabridge::{retry::Budget, time::Time};

const NOW: Time = Time::from_millis(1);

#[test]
fn failure_only() {
    let mut budget = Budget::new(10, 20);
    let spent = (0..1_000).filter(|_| budget.spend_retry()).count();
    assert_eq!(spent, 20, "without a success only the initial tokens are spent");
}

#[test]
fn earned_tokens() {
    let mut budget = Budget::new(10, 20);
    while budget.spend_retry() {}
    for _ in 0..100 {
        budget.earn(NOW);
    }
    let spent = (0..1_000).filter(|_| budget.spend_retry()).count();
    assert_eq!(spent, 10, "a tenth of the successes is earned");
}

#[test]
fn hedge_reserve() {
    let mut budget = Budget::new(10, 20);
    let hedges = (0..1_000).filter(|_| budget.spend_hedge()).count();
    let retries = (0..1_000).filter(|_| budget.spend_retry()).count();
    assert_eq!((hedges, retries), (10, 10));
}

#[test]
fn capacity_grows() {
    let mut budget = Budget::new(10, 20);
    for second in 0..21 {
        for _ in 0..1_000 {
            budget.earn(Time::from_millis(second * 1_000));
        }
    }
    assert_eq!(budget.tokens(), 1_000, "the capacity is what ten seconds earn");
}
