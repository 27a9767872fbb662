//! Packets of later builds, which hold kinds and fields that this build doesn't know.

use std::time::Duration;

use mimosabridge::{
    feed::{Position, Progress, Restriction},
    fingerprint::Fingerprint,
    member::{Content, Datagram, Kind, Mark, News, Packet, Unknown},
    name::Name,
    quarantine::Evidence,
};
use rstest::rstest;

use crate::{
    fixture::{at, record},
    later_build::{UNKNOWN_NEWS, extend, item, with_news},
    production,
};

fn packet() -> Packet {
    let position = Position::new(2, 7_000);
    Packet {
        from: record(3, "a"),
        kind: Kind::Ack(41),
        config: None,
        progress: Some(Progress { position, urgent: position, version: 12 }),
        platform_age: 14,
        reach_age: Some(3),
        roster: 0x1234_5678,
        news: Vec::new(),
    }
}

fn quarantined() -> News {
    let fingerprint = Fingerprint::new(&Name::new("rule"), b"content");
    News::Evidence { fingerprint, evidence: Evidence::Quarantined(Duration::from_secs(200)) }
}

fn closed() -> News {
    let restriction = Restriction::Closed(Name::new("a"));
    News::Restriction { restriction, left_millis: 9_000 }
}

fn read(bytes: &[u8]) -> (Packet, u32) {
    let datagram = Datagram::decode(bytes).expect("the datagram is read");
    match datagram.content {
        Content::Packet(packet) => (*packet, datagram.unknown),
        Content::News(_) => panic!("the kind of the packet is known"),
    }
}

/// Evidence of a kind that this build doesn't know.
const UNKNOWN_EVIDENCE: &[u8] = &[4, 7, 3, 1, 2];

/// A restriction of a kind that this build doesn't know.
const UNKNOWN_RESTRICTION: &[u8] = &[5, 2, 1, b'a', 9];

#[rstest]
#[case::news(UNKNOWN_NEWS)]
#[case::evidence(UNKNOWN_EVIDENCE)]
#[case::restriction(UNKNOWN_RESTRICTION)]
fn in_packet(#[case] unknown: &[u8]) {
    let news = [&item(&quarantined())[..], unknown, &item(&closed())];
    let bytes = extend(with_news(&packet(), &news), &[]);
    assert_eq!(read(&bytes), (Packet { news: vec![quarantined()], ..packet() }, 2));
}

#[rstest]
#[case::news(UNKNOWN_NEWS)]
#[case::evidence(UNKNOWN_EVIDENCE)]
#[case::restriction(UNKNOWN_RESTRICTION)]
fn in_extension(#[case] unknown: &[u8]) {
    let bytes = with_news(&packet(), &[&item(&quarantined())]);
    let bytes = extend(bytes, &[unknown, &item(&closed()), unknown]);
    assert_eq!(read(&bytes), (Packet { news: vec![quarantined(), closed()], ..packet() }, 2));
}

/// What stands in the extension is read although the news of the packet is unknown.
#[test]
fn in_both() {
    let bytes = with_news(&packet(), &[UNKNOWN_NEWS]);
    let bytes = extend(bytes, &[UNKNOWN_NEWS, &item(&closed())]);
    assert_eq!(read(&bytes), (Packet { news: vec![closed()], ..packet() }, 2));
}

#[test]
fn further_fields() {
    let mark = News::State(Mark::new(&record(5, "c")));
    let longer = [&item(&mark)[..], &[1, 2, 3]].concat();
    let bytes = extend(packet().encode(), &[&longer, &item(&closed())]);
    assert_eq!(read(&bytes), (Packet { news: vec![mark, closed()], ..packet() }, 1));
    let longer = [&packet().encode()[..], &[1, 2, 3]].concat();
    assert_eq!(read(&extend(longer, &[])), (packet(), 1));
}

/// Of a packet of an unknown kind, its sender and its extension are read.
#[test]
fn kind_of_packet() {
    let sender = record(3, "a");
    let record = postcard::to_allocvec(&sender).expect("a record can be encoded");
    let bytes = extend([&record[..], &[4, 9, 9, 9]].concat(), &[&item(&closed()), UNKNOWN_NEWS]);
    let datagram = Datagram::decode(&bytes).expect("the datagram is read");
    let content = Content::News(vec![closed()]);
    assert_eq!(datagram, Datagram { sender, content, unknown: 2 });
    assert_eq!(Packet::decode(&bytes), None);
}

/// Without a hash, nothing tells an unknown kind from a damaged byte.
#[test]
fn not_extended() {
    let bytes = with_news(&packet(), &[&item(&quarantined()), UNKNOWN_NEWS]);
    assert_eq!(Datagram::decode(&bytes), None);
}

/// The build in production reads the packet and passes over the extension, but not over an unknown
/// kind in the packet.
#[test]
fn read_by_production() {
    let known = with_news(&packet(), &[&item(&quarantined())]);
    let extended = extend(known.clone(), &[UNKNOWN_NEWS, &item(&closed())]);
    let read = production::decode(&extended).expect("the packet is read");
    assert_eq!(production::encode(&read), known);
    let unknown = extend(with_news(&packet(), &[UNKNOWN_NEWS]), &[]);
    assert_eq!(production::decode(&unknown), None);
}

#[test]
fn reported_in_intervals() {
    let mut unknown = Unknown::new();
    assert_eq!(unknown.add(0, at(0)), None);
    assert_eq!(unknown.add(2, at(0)), Some(2));
    assert_eq!(unknown.add(3, at(100)), None);
    assert_eq!(unknown.add(0, at(20_000)), None);
    assert_eq!(unknown.add(1, at(20_000)), Some(4));
}
