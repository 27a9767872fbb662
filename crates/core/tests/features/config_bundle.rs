//! Publishing a configuration in parts, and catching up with it step by step.

use std::sync::Arc;

use mimosabridge::{
    config::{Bundle, Change, History, Intake, MAX_PART_BYTES, Server, Set},
    name::Name,
};

use crate::simulation;

fn large() -> Set {
    let mut set = simulation::config();
    for number in 0..20_000_u16 {
        let name = Name::new(format!("server-number-{number}"));
        let server = Server {
            name: name.clone(),
            service: Name::from("service"),
            data_centre: Name::from("a"),
            address: ([10, 1, 0, 0], number + 1).into(),
        };
        set.servers.insert(name, server);
    }
    set
}

fn closed(set: &Set) -> Set {
    let mut set = set.clone();
    set.data_centres.get_mut("a").expect("the fixture has it").intake = Intake::Closed;
    set
}

#[test]
fn parts_assembled() {
    let bundle = Bundle::first(large());
    let parts = bundle.parts();
    assert!(parts.len() > 1);
    assert!(parts.iter().all(|it| it.len() <= MAX_PART_BYTES));
    let again = Bundle::assemble(bundle.head(), &parts).expect("the parts are complete");
    assert_eq!(again, bundle);
}

#[test]
fn foreign_parts_refused() {
    let bundle = Bundle::first(simulation::config());
    let other = Bundle::first(closed(&bundle.set));
    let error = Bundle::assemble(bundle.head(), &other.parts());
    let message = error.expect_err("the parts belong to another configuration").to_string();
    assert!(message.contains(&other.stamp.digest.to_string()), "{message}");
}

#[test]
fn change_applied() {
    let old = Bundle::first(simulation::config());
    let new = old.next(closed(&old.set));
    let change = Change::between(&old.set, &new.set);
    assert_eq!(change.len(), 1, "only the data centre differs");
    let again = old.advance(new.head(), &change).expect("the change leads to the new one");
    assert_eq!(again, new);
}

#[test]
fn steps_chained() {
    let mut history = History::new();
    let mut bundles = vec![Bundle::first(simulation::config())];
    for number in 0..100 {
        let last = bundles.last().expect("there is a first");
        let mut set = last.set.clone();
        set.rules.get_mut("rule").expect("the fixture has it").deadline_ms = 1_000 + number;
        let next = last.next(set);
        history.push(last, &next);
        bundles.push(next);
    }
    let latest = bundles[100].clone();
    let mut caught_up = bundles[90].clone();
    for step in history.since(caught_up.stamp).expect("the last ten steps are kept") {
        caught_up = caught_up.advance(step.head, &step.change).expect("the step fits");
    }
    assert_eq!(caught_up, latest);
    assert!(history.since(bundles[0].stamp).is_none(), "a hundred steps are not kept");
}

#[test]
fn lineage_checked() {
    let first = Arc::new(Bundle::first(simulation::config()));
    let second = first.next(closed(&first.set));
    let rival = first.next(large());
    let third = second.next(large());
    assert!(second.follows(first.stamp));
    assert!(third.follows(first.stamp) && third.follows(second.stamp));
    assert!(!third.follows(rival.stamp), "the rival is not in the lineage");
    assert!(!first.follows(second.stamp), "an older version follows no newer one");
    assert!(third.clone().with_rival(rival.stamp).follows(rival.stamp));
}
