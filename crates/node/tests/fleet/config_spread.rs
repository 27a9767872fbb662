//! How a configuration comes into force, and which faults must not prevent or replace it.

use mimosabridge::config::{Change, Intake};
use mimosabridge_node::node::Role;
use mimosabridge_standin::server::Spec;
use serde_json::json;

use crate::env::Fleet;

#[tokio::test]
async fn data_centre_closed() {
    let mut fleet = Fleet::start(Spec::new()).await;
    let next = fleet.change(|set| {
        set.data_centres.get_mut("a").expect("the fixture has it").intake = Intake::Closed;
    });
    fleet.wait_in_force(next.stamp).await;
    let before: u64 = (1..=3).map(|it| fleet.stats(&format!("a{it}")).started).sum();
    for _ in 0..20 {
        let (_, answer) = fleet.query("entry-a", json!({})).await;
        assert_eq!(answer["verdict"], "complete", "{answer}");
    }
    let after: u64 = (1..=3).map(|it| fleet.stats(&format!("a{it}")).started).sum();
    assert_eq!(before, after, "the closed data centre got new work");
}

#[tokio::test]
async fn platform_down() {
    let mut fleet = Fleet::start(Spec::new()).await;
    let next = fleet.change(|set| {
        set.rules.get_mut("rule").expect("the fixture has it").max_hits = 1;
    });
    fleet.wait_in_force(next.stamp).await;
    fleet.platform.store().set_down(true);
    fleet.start_node("entry-late", "a", Role::Entry).await;
    fleet.wait_in_force(next.stamp).await;
    let (_, answer) = fleet.query("entry-late", json!({})).await;
    assert_eq!(answer["hits"].as_array().map(Vec::len), Some(1), "{answer}");
}

#[tokio::test]
async fn stale_platform() {
    let mut fleet = Fleet::start(Spec::new()).await;
    let old = fleet.bundle.clone();
    let next = fleet.change(|set| {
        set.rules.get_mut("rule").expect("the fixture has it").max_hits = 1;
    });
    fleet.wait_in_force(next.stamp).await;
    fleet.publish(&old, &Change::default());
    fleet.start_node("entry-late", "b", Role::Entry).await;
    fleet.wait_in_force(next.stamp).await;
    for node in fleet.nodes.keys() {
        assert_eq!(
            fleet.in_force(node),
            Some(next.stamp),
            "{node} returned to an older configuration"
        );
    }
}

#[tokio::test]
async fn rival_refused() {
    let mut fleet = Fleet::start(Spec::new()).await;
    let base = fleet.bundle.clone();
    let next = fleet.change(|set| {
        set.rules.get_mut("rule").expect("the fixture has it").max_hits = 1;
    });
    fleet.wait_in_force(next.stamp).await;
    let mut set = base.set.clone();
    set.rules.get_mut("rule").expect("the fixture has it").max_hits = 2;
    let rival = base.next(set);
    fleet.publish(&rival, &Change::between(&base.set, &rival.set));
    let after = fleet.change(|set| {
        set.rules.get_mut("rule").expect("the fixture has it").max_hits = 3;
    });
    fleet.wait_in_force(after.stamp).await;
    assert_eq!(after.stamp.version, next.stamp.version + 1);
}

/// Guards against a platform that comes back from an older copy and gives out revisions again: a
/// configuration was not seen until its revision passed that of the lost one.
#[tokio::test]
async fn restored_platform() {
    let mut fleet = Fleet::start(Spec::new()).await;
    let copy = fleet.platform.store().copy();
    let lost = fleet.change(|set| {
        set.rules.get_mut("rule").expect("the fixture has it").max_hits = 1;
    });
    fleet.wait_in_force(lost.stamp).await;
    fleet.platform.store().restore(copy);
    let next = fleet.change(|set| {
        set.rules.get_mut("rule").expect("the fixture has it").max_hits = 2;
    });
    fleet.wait_in_force(next.stamp).await;
}
