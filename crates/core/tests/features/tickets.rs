//! A request with a ticket runs at most once.

use std::{sync::Arc, time::Duration};

use mimosabridge::{
    fingerprint::Fingerprint,
    name::Name,
    place,
    query::Answer,
    ticket::{Decision, Table, Ticket},
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
    assert!(matches!(table.begin(&ticket, content("a"), NOW), Decision::Run));
    for _ in 0..10 {
        assert!(matches!(table.begin(&ticket, content("a"), NOW), Decision::Running));
    }
    table.finish(ticket.serial, Arc::new(Answer::unknown()), NOW);
    for _ in 0..10 {
        assert!(matches!(table.begin(&ticket, content("a"), NOW), Decision::Done(_)));
    }
}

/// Guards against a request that begins at a home that has stopped waiting for requests.
#[test]
fn closed_home_runs() {
    let mut table = table(1);
    let [running, done, unused] = [(); 3].map(|()| table.issue(NOW).expect("there is room"));
    for ticket in [&running, &done] {
        assert!(matches!(table.begin(ticket, content("a"), NOW), Decision::Run));
    }
    table.finish(done.serial, Arc::new(Answer::unknown()), NOW);
    table.close();
    assert!(matches!(table.begin(&running, content("a"), NOW), Decision::Running));
    assert!(matches!(table.begin(&done, content("a"), NOW), Decision::Done(_)));
    assert!(matches!(table.begin(&unused, content("a"), NOW), Decision::Closed));
}

#[test]
fn other_request() {
    let mut table = table(1);
    let ticket = table.issue(NOW).expect("there is room");
    assert!(matches!(table.begin(&ticket, content("a"), NOW), Decision::Run));
    assert!(matches!(table.begin(&ticket, content("b"), NOW), Decision::OtherRequest));
    table.finish(ticket.serial, Arc::new(Answer::unknown()), NOW);
    assert!(matches!(table.begin(&ticket, content("b"), NOW), Decision::OtherRequest));
}

#[test]
fn other_instance() {
    let ticket = table(1).issue(NOW).expect("there is room");
    let mut restarted = table(2);
    let same_serial = restarted.issue(NOW).expect("there is room");
    assert_eq!(ticket.serial, same_serial.serial);
    assert!(matches!(restarted.begin(&ticket, content("a"), NOW), Decision::Unknown));
}

#[test]
fn expired_unknown() {
    let mut table = table(1);
    let unused = table.issue(NOW).expect("there is room");
    let used = table.issue(NOW).expect("there is room");
    assert!(matches!(table.begin(&used, content("a"), NOW), Decision::Run));
    let later = NOW + TTL;
    assert!(matches!(table.begin(&unused, content("a"), later), Decision::Unknown));
    table.expire(later);
    assert!(matches!(table.begin(&unused, content("a"), later), Decision::Unknown));
    assert!(
        matches!(table.begin(&used, content("a"), later), Decision::Running),
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
fn text_round_trip() {
    let ticket = Ticket { home: Name::from("entry.lima-a"), boot: u64::MAX, serial: 255 };
    let text = ticket.to_string();
    assert_eq!(text, "ff.ffffffffffffffff.entry.lima-a");
    assert_eq!(text.parse::<Ticket>().expect("it is the text of a ticket"), ticket);
    for wrong in ["", "ff", "ff.1", "ff.1.", "x.1.home"] {
        assert!(wrong.parse::<Ticket>().is_err(), "{wrong:?}");
    }
}

/// Guards against choosing the home of a request by a hash over the roster: two nodes whose rosters
/// differ choose different homes, and the request runs twice.
#[test]
fn hash_owner_differs() {
    let all = ["entry-1", "entry-2", "entry-3"].map(Name::from);
    let key = 7;
    let owner = place::rank(key, &all, 1);
    let rest: Vec<_> = all.iter().filter(|it| !owner.contains(it)).cloned().collect();
    let other = place::rank(key, &rest, 1);
    assert_eq!(owner.len(), 1);
    assert_ne!(owner, other, "a node that considers the owner dead chooses another one");
}
