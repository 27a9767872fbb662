//! At most one run for each ticket.

use std::{sync::Arc, time::Duration};

use mimosabridge::{
    fingerprint::Fingerprint,
    name::Name,
    place,
    query::Answer,
    ticket::{Begin, Table, Ticket},
    time::Time,
};

const TTL: Duration = Duration::from_secs(600);
const NOW: Time = Time::from_millis(1);

fn table(boot: u64) -> Table {
    Table::new(Name::from("entry"), boot, TTL, 3)
}

fn content(text: &str) -> Fingerprint {
    Fingerprint::new(&Name::from("rule"), text.as_bytes())
}

#[test]
fn runs_once() {
    let mut table = table(1);
    let ticket = table.issue(NOW).expect("there is room");
    assert!(matches!(table.begin(&ticket, content("a"), NOW), Begin::Run));
    for _ in 0..10 {
        assert!(matches!(table.begin(&ticket, content("a"), NOW), Begin::Running));
    }
    table.finish(ticket.serial, Arc::new(Answer::unknown()), NOW);
    for _ in 0..10 {
        assert!(matches!(table.begin(&ticket, content("a"), NOW), Begin::Done(_)));
    }
}

#[test]
fn other_request() {
    let mut table = table(1);
    let ticket = table.issue(NOW).expect("there is room");
    assert!(matches!(table.begin(&ticket, content("a"), NOW), Begin::Run));
    assert!(matches!(table.begin(&ticket, content("b"), NOW), Begin::OtherRequest));
    table.finish(ticket.serial, Arc::new(Answer::unknown()), NOW);
    assert!(matches!(table.begin(&ticket, content("b"), NOW), Begin::OtherRequest));
}

#[test]
fn other_life() {
    let ticket = table(1).issue(NOW).expect("there is room");
    let mut again = table(2);
    let same_serial = again.issue(NOW).expect("there is room");
    assert_eq!(ticket.serial, same_serial.serial);
    assert!(matches!(again.begin(&ticket, content("a"), NOW), Begin::Unknown));
}

#[test]
fn expired_unknown() {
    let mut table = table(1);
    let unused = table.issue(NOW).expect("there is room");
    let used = table.issue(NOW).expect("there is room");
    assert!(matches!(table.begin(&used, content("a"), NOW), Begin::Run));
    let later = NOW + TTL;
    assert!(matches!(table.begin(&unused, content("a"), later), Begin::Unknown));
    table.expire(later);
    assert!(matches!(table.begin(&unused, content("a"), later), Begin::Unknown));
    assert!(
        matches!(table.begin(&used, content("a"), later), Begin::Running),
        "a ticket is kept while its request runs"
    );
}

#[test]
fn full_refuses() {
    let mut table = table(1);
    for _ in 0..3 {
        table.issue(NOW).expect("there is room");
    }
    assert!(table.issue(NOW).is_err());
    assert!(table.issue(NOW + TTL).is_ok(), "expired tickets make room");
}

#[test]
fn text_round() {
    let ticket = Ticket { home: Name::from("entry.lima-a"), boot: u64::MAX, serial: 255 };
    let text = ticket.to_string();
    assert_eq!(text, "ff.ffffffffffffffff.entry.lima-a");
    assert_eq!(text.parse::<Ticket>().expect("it was written by us"), ticket);
    for wrong in ["", "ff", "ff.1", "ff.1.", "x.1.home"] {
        assert!(wrong.parse::<Ticket>().is_err(), "{wrong:?}");
    }
}

/// Why a request is not owned by a hash over the roster: two rosters give two owners.
#[test]
fn hash_owner_differs() {
    let all = ["entry-1", "entry-2", "entry-3"].map(Name::from);
    let key = 7;
    let owner = place::rank(key, &all, 1);
    let rest: Vec<_> = all.iter().filter(|it| !owner.contains(it)).cloned().collect();
    let other = place::rank(key, &rest, 1);
    assert_eq!(owner.len(), 1);
    assert_ne!(owner, other, "whoever believes the owner dead runs the request elsewhere");
}
