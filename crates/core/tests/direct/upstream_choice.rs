//! Which nodes read the store, and which peers the others follow.

use mimosabridge::{
    feed::{Selector, Upstream},
    member::{Record, Roster, State},
    name::Name,
    time::Time,
};

use crate::fixture::{at, record};

fn roster(per_data_centre: u16) -> Roster {
    let mut roster = Roster::new();
    for data_centre in ["a", "b", "c"] {
        for number in 0..per_data_centre {
            roster.merge(record(number, data_centre), at(0));
        }
    }
    roster
}

fn upstream(selector: &mut Selector, roster: &Roster, number: u16, now: Time) -> Upstream {
    selector.upstream(roster, &record(number, "b"), now)
}

fn peer(number: u16) -> Upstream {
    Upstream::Peer(record(number, "b"))
}

#[test]
fn single_reader() {
    let roster = roster(30);
    let readers = roster
        .records()
        .filter(|own| Selector::new().upstream(&roster, own, at(1)) == Upstream::Store);
    assert_eq!(readers.count(), 3, "one for each data centre");
    assert_eq!(upstream(&mut Selector::new(), &roster, 17, at(1)), peer(0));
}

#[test]
fn lone_node() {
    let mut roster = Roster::new();
    let own = record(9, "b");
    roster.merge(own.clone(), at(0));
    assert_eq!(Selector::new().upstream(&roster, &own, at(0)), Upstream::Store);
    roster.merge(record(3, "a"), at(0));
    assert_eq!(
        Selector::new().upstream(&roster, &own, at(1)),
        Upstream::Store,
        "no other node is in the data centre"
    );
}

#[test]
fn reader_unreachable() {
    let roster = roster(4);
    let (mut second, mut last) = (Selector::new(), Selector::new());
    let name = Name::new("b-00");
    second.on_failure(&name, at(0));
    last.on_failure(&name, at(0));
    assert_eq!(upstream(&mut second, &roster, 1, at(1)), Upstream::Store);
    assert_eq!(upstream(&mut last, &roster, 3, at(1)), peer(1), "only one of the others reads");
    assert_eq!(
        upstream(&mut last, &roster, 3, at(4_000)),
        peer(0),
        "the first node is asked again"
    );
}

#[test]
fn dead_skipped() {
    let mut roster = roster(4);
    roster.merge(Record { state: State::Dead, ..record(0, "b") }, at(0));
    assert_eq!(upstream(&mut Selector::new(), &roster, 1, at(1)), Upstream::Store);
    assert_eq!(upstream(&mut Selector::new(), &roster, 2, at(1)), peer(1));
}

/// The store refuses the reader and answers the other nodes.
#[test]
fn staggered_failover() {
    let roster = roster(30);
    let mut selectors = vec![Selector::new(); 30];
    let mut reading = |millis: u64| {
        let selectors = selectors.iter_mut().enumerate().skip(1);
        let reads = selectors.filter_map(|(number, selector)| {
            selector.on_answer(true, at(millis));
            let is_reading =
                upstream(selector, &roster, number as u16, at(millis)) == Upstream::Store;
            is_reading.then_some(number)
        });
        reads.collect::<Vec<_>>()
    };
    assert!(reading(0).is_empty(), "a single failed read must not cause a failover");
    assert_eq!(reading(2_000), [1]);
    assert_eq!(
        reading(2_400),
        [1, 2],
        "the next node reads if the store refuses the first substitute too"
    );
}

#[test]
fn recovery_resets_delay() {
    let roster = roster(3);
    let mut selector = Selector::new();
    selector.on_answer(true, at(0));
    selector.on_answer(false, at(900));
    selector.on_answer(true, at(1_800));
    assert_eq!(upstream(&mut selector, &roster, 2, at(2_500)), peer(0));
    selector.on_answer(true, at(5_000));
    assert_eq!(upstream(&mut selector, &roster, 2, at(5_000)), Upstream::Store);
    assert_eq!(upstream(&mut selector, &roster, 2, at(12_000)), peer(0));
}
