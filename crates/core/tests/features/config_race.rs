//! Which configuration comes into force when operators publish at the same time.

use std::{sync::Arc, time::Duration};

use mimosabridge::{
    config::{Bundle, Chain, Intake, Origin, Stamp, Verdict},
    time::Time,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::simulation;

const SETTLE: Duration = Duration::from_millis(2_000);

fn first() -> Arc<Bundle> {
    Arc::new(Bundle::first(simulation::config()))
}

/// Creates two bundles that replace the same one, the one with the lower digest first.
fn rivals(base: &Bundle) -> [Arc<Bundle>; 2] {
    let mut closed = base.set.clone();
    closed.data_centres.get_mut("a").expect("the fixture has it").intake = Intake::Closed;
    let mut longer = base.set.clone();
    longer.rules.get_mut("rule").expect("the fixture has it").deadline_ms = 5_000;
    let mut rivals = [Arc::new(base.next(closed)), Arc::new(base.next(longer))];
    rivals.sort_by_key(|it| it.stamp);
    rivals
}

fn chain_with(bundle: &Arc<Bundle>) -> Chain {
    let mut chain = Chain::new(SETTLE);
    let verdict = chain.offer(bundle.clone(), Origin::InForce, Time::ZERO);
    assert_eq!(verdict, Verdict::Accepted(bundle.clone()));
    chain
}

#[test]
fn settle_time_awaited() {
    let base = first();
    let mut chain = chain_with(&base);
    let next = Arc::new(base.next(rivals(&base)[0].set.clone()));
    let now = Time::from_millis(10);
    assert_eq!(chain.offer(next.clone(), Origin::Published, now), Verdict::Waiting);
    assert_eq!(chain.tick(now + SETTLE / 2), None);
    assert_eq!(chain.stamp(), Some(base.stamp));
    assert_eq!(chain.tick(now + SETTLE), Some(next));
}

#[test]
fn version_never_reverted() {
    let base = first();
    let [next, rival] = rivals(&base);
    let mut chain = chain_with(&next);
    for origin in [Origin::Published, Origin::InForce] {
        let now = Time::from_millis(10);
        assert_eq!(chain.offer(base.clone(), origin, now), Verdict::Stale);
        let verdict = chain.offer(rival.clone(), origin, now);
        assert_eq!(verdict, Verdict::Conflict { current: next.stamp });
        assert_eq!(chain.tick(now + SETTLE), None);
    }
    assert_eq!(chain.stamp(), Some(next.stamp));
    assert!(chain.conflicts_with(rival.stamp));
}

#[test]
fn rivals_merged() {
    let base = first();
    let [next, rival] = rivals(&base);
    let merged = next.next(rival.set.clone()).with_rival(rival.stamp);
    for held in [&next, &rival] {
        let mut chain = chain_with(held);
        let verdict = chain.offer(Arc::new(merged.clone()), Origin::InForce, Time::ZERO);
        assert!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
    }
}

#[test]
fn inconsistent_refused() {
    let base = first();
    let mut chain = chain_with(&base);
    let mut broken = base.set.clone();
    broken.services.clear();
    let bundle = Arc::new(base.next(broken));
    for origin in [Origin::Published, Origin::InForce] {
        let verdict = chain.offer(bundle.clone(), origin, Time::ZERO);
        assert!(matches!(verdict, Verdict::Invalid(_)), "{verdict:?}");
    }
    assert!(
        !chain.should_fetch(bundle.stamp, Origin::Published),
        "an invalid bundle is not fetched again"
    );
}

proptest! {
    /// Two operators publish rivals with any time between them, and messages reach every node
    /// within half the settle time. Every node must accept the same rival, and only that one.
    #[test]
    fn one_rival_accepted(seed in any::<u64>(), gap_ms in 0_u64..4_000) {
        let base = first();
        let [low, high] = rivals(&base);
        let mut rng = StdRng::seed_from_u64(seed);
        let published = if rng.random() { [low, high] } else { [high, low] };
        let mut nodes: Vec<_> = (0..6).map(|_| Node::new(&base)).collect();
        // The second write replaces the first: a late reader sees only the second.
        let mut messages: Vec<Message> = Vec::new();
        for node in 0..nodes.len() {
            let seen = Time::from_millis(rng.random_range(0..500));
            if seen <= Time::from_millis(gap_ms) {
                messages.push(Message { at: seen, node, bundle: 0, origin: Origin::Published });
            }
            let seen = Time::from_millis(gap_ms + rng.random_range(0..500));
            messages.push(Message { at: seen, node, bundle: 1, origin: Origin::Published });
        }
        for step in 0..800 {
            let now = Time::from_millis(step * 10);
            let (due, later): (Vec<_>, Vec<_>) = messages.drain(..).partition(|it| it.at <= now);
            messages = later;
            for item in due {
                let sent = nodes[item.node].on_bundle(&published[item.bundle], item.origin, now);
                broadcast(sent, item.bundle, now, nodes.len(), &mut rng, &mut messages);
            }
            for node in &mut nodes {
                let Some(stamp) = node.tick(now) else { continue };
                let bundle = usize::from(stamp == published[1].stamp);
                broadcast(Some(Origin::InForce), bundle, now, 6, &mut rng, &mut messages);
            }
        }
        let stamps: Vec<_> = nodes.iter().map(|it| it.chain.stamp()).collect();
        prop_assert!(stamps.iter().all(|it| *it == stamps[0]), "{:?}", stamps);
        prop_assert!(nodes.iter().all(|it| it.accepted.len() == 1));
    }
}

/// A node with the configurations that it has accepted after the first.
struct Node {
    chain: Chain,
    accepted: Vec<Stamp>,
}

/// A message to a node about one of the published bundles.
#[derive(Clone, Copy)]
struct Message {
    at: Time,
    node: usize,
    bundle: usize,
    origin: Origin,
}

impl Node {
    fn new(base: &Arc<Bundle>) -> Node {
        Node { chain: chain_with(base), accepted: Vec::new() }
    }

    /// Offers a bundle to the node. Returns what the node announces to the others, if anything.
    fn on_bundle(&mut self, bundle: &Arc<Bundle>, origin: Origin, now: Time) -> Option<Origin> {
        match self.chain.offer(bundle.clone(), origin, now) {
            Verdict::Accepted(bundle) => {
                self.accepted.push(bundle.stamp);
                Some(Origin::InForce)
            }
            Verdict::Waiting => Some(Origin::Published),
            _ => None,
        }
    }

    fn tick(&mut self, now: Time) -> Option<Stamp> {
        let stamp = self.chain.tick(now)?.stamp;
        self.accepted.push(stamp);
        Some(stamp)
    }
}

/// Sends a bundle to every node, to each within half the settle time.
fn broadcast(
    sent: Option<Origin>,
    bundle: usize,
    now: Time,
    nodes: usize,
    rng: &mut StdRng,
    messages: &mut Vec<Message>,
) {
    let Some(origin) = sent else { return };
    for node in 0..nodes {
        let delay = Duration::from_millis(rng.random_range(0..900));
        messages.push(Message { at: now + delay, node, bundle, origin });
    }
}
