//! Which nodes read the store, and whom the others follow.

use mimosabridge::{
    feed::{Rota, Upstream},
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

fn upstream(rota: &mut Rota, roster: &Roster, number: u16, now: Time) -> Upstream {
    rota.upstream(roster, &record(number, "b"), now)
}

fn peer(number: u16) -> Upstream {
    Upstream::Peer(record(number, "b"))
}

#[test]
fn one_reads() {
    let roster = roster(30);
    let readers =
        roster.records().filter(|own| Rota::new().upstream(&roster, own, at(1)) == Upstream::Store);
    assert_eq!(readers.count(), 3, "one for each data centre");
    assert_eq!(upstream(&mut Rota::new(), &roster, 17, at(1)), peer(0));
}

#[test]
fn lone_node_reads() {
    let mut roster = Roster::new();
    let own = record(9, "b");
    roster.merge(own.clone(), at(0));
    assert_eq!(Rota::new().upstream(&roster, &own, at(0)), Upstream::Store);
    roster.merge(record(3, "a"), at(0));
    assert_eq!(Rota::new().upstream(&roster, &own, at(1)), Upstream::Store, "none is near");
}

#[test]
fn next_in_rank_takes_over() {
    let roster = roster(4);
    let (mut second, mut last) = (Rota::new(), Rota::new());
    let name = Name::new("b-00");
    second.on_failure(&name, at(0));
    last.on_failure(&name, at(0));
    assert_eq!(upstream(&mut second, &roster, 1, at(1)), Upstream::Store);
    assert_eq!(upstream(&mut last, &roster, 3, at(1)), peer(1), "one reads, not all");
    assert_eq!(upstream(&mut last, &roster, 3, at(4_000)), peer(0), "it is asked again");
}

#[test]
fn dead_not_followed() {
    let mut roster = roster(4);
    roster.merge(Record { state: State::Dead, ..record(0, "b") }, at(0));
    assert_eq!(upstream(&mut Rota::new(), &roster, 1, at(1)), Upstream::Store);
    assert_eq!(upstream(&mut Rota::new(), &roster, 2, at(1)), peer(1));
}

/// The store turns the reader away and serves the others.
#[test]
fn one_substitute_at_a_time() {
    let roster = roster(30);
    let mut rotas = vec![Rota::new(); 30];
    let mut reading = |millis: u64| {
        let rotas = rotas.iter_mut().enumerate().skip(1);
        let reads = rotas.filter_map(|(number, rota)| {
            rota.on_answer(true, at(millis));
            let is_reading = upstream(rota, &roster, number as u16, at(millis)) == Upstream::Store;
            is_reading.then_some(number)
        });
        reads.collect::<Vec<_>>()
    };
    assert!(reading(0).is_empty(), "a failed read may be a single one");
    assert_eq!(reading(2_000), [1]);
    assert_eq!(reading(2_400), [1, 2], "the next, if the first is turned away too");
}

#[test]
fn regained_store_ends_it() {
    let roster = roster(3);
    let mut rota = Rota::new();
    rota.on_answer(true, at(0));
    rota.on_answer(false, at(900));
    rota.on_answer(true, at(1_800));
    assert_eq!(upstream(&mut rota, &roster, 2, at(2_500)), peer(0));
    rota.on_answer(true, at(5_000));
    assert_eq!(upstream(&mut rota, &roster, 2, at(5_000)), Upstream::Store);
    assert_eq!(upstream(&mut rota, &roster, 2, at(12_000)), peer(0));
}
