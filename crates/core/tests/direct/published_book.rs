//! Taking what is published, from the store and from peers.

use mimosabridge::{
    balance::Balancer,
    directory::Change,
    feed::{Book, Fact, News, Snapshot},
    name::Name,
    plan::Draft,
};

use crate::fixture::{at, entry, settings};

fn plan(version: u64) -> Fact {
    Fact::Plan(Draft { version, ..Draft::default() })
}

fn delta(revision: u64, facts: Vec<Fact>) -> Snapshot {
    Snapshot { revision, facts }
}

#[test]
fn never_reverts() {
    let (mut book, mut balancer) = (Book::new(), Balancer::new(settings(), 1));
    let news = book.replace(delta(10, vec![plan(5)]), &mut balancer, at(0));
    assert_eq!(news, [News::Plan(5)]);
    assert!(book.extend(10, delta(11, vec![plan(3)]), &mut balancer, at(1)).is_empty());
    assert_eq!(book.plan().map(|it| it.version()), Some(5));
}

#[test]
fn older_snapshot_ignored() {
    let (mut book, mut balancer) = (Book::new(), Balancer::new(settings(), 1));
    book.replace(delta(10, vec![Fact::Server(entry(1, "one", "a"))]), &mut balancer, at(0));
    assert!(book.replace(delta(9, Vec::new()), &mut balancer, at(1)).is_empty());
    assert_eq!(balancer.directory().len(), 1);
}

#[test]
fn snapshot_round_trip() {
    let (mut book, mut balancer) = (Book::new(), Balancer::new(settings(), 1));
    let facts = vec![plan(5), Fact::Closed(Name::new("b")), Fact::Server(entry(1, "one", "a"))];
    book.replace(delta(10, facts.clone()), &mut balancer, at(0));
    assert_eq!(book.snapshot(&balancer), delta(10, facts));
}

#[test]
fn closed_and_opened() {
    let (mut book, mut balancer) = (Book::new(), Balancer::new(settings(), 1));
    let place = Name::new("b");
    book.extend(0, delta(2, vec![Fact::Closed(place.clone())]), &mut balancer, at(0));
    assert!(balancer.closed().contains(&place));
    book.extend(2, delta(3, vec![Fact::Opened(place.clone())]), &mut balancer, at(1));
    assert!(!balancer.closed().contains(&place));
}

#[test]
fn missing_from_list() {
    let (mut book, mut balancer) = (Book::new(), Balancer::new(settings(), 1));
    let servers = [1, 2].map(|it| Fact::Server(entry(it, "one", "a")));
    book.replace(delta(10, servers.to_vec()), &mut balancer, at(0));
    let news = book.replace(delta(12, servers[..1].to_vec()), &mut balancer, at(1));
    assert_eq!(news, [News::Server(Change::Removed(Name::new("i-2")))]);
}

/// A VM whose cut had healed lost a version of the configuration: the answer to its watch crossed a
/// snapshot of a peer and was ignored, but the next watch began after it.
#[test]
fn crossing_delta_asked_again() {
    let (mut book, mut balancer) = (Book::new(), Balancer::new(settings(), 1));
    book.replace(delta(72, vec![plan(6)]), &mut balancer, at(0));
    book.replace(delta(75, vec![plan(6)]), &mut balancer, at(1));
    let crossing = delta(78, vec![plan(10)]);
    assert!(book.extend(72, crossing.clone(), &mut balancer, at(2)).is_empty());
    assert_eq!(book.revision(), 75, "the next watch begins here");
    assert_eq!(book.extend(75, crossing, &mut balancer, at(3)), [News::Plan(10)]);
}
