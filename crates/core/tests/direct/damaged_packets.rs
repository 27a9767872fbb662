//! Datagrams that are not packets, or not those that were sent.

use mimosabridge::{
    member::{Content, Datagram, Kind, News, Packet},
    name::Name,
};
use proptest::prelude::*;

use crate::{
    fixture::record,
    later_build::{UNKNOWN_NEWS, extend, item, with_news},
};

fn leaving() -> News {
    News::Leaving { server: Name::new("i-1"), round: 3 }
}

fn packet() -> Packet {
    Packet {
        from: record(3, "a"),
        kind: Kind::PingFor { number: 8, target: record(5, "c") },
        config: None,
        progress: None,
        platform_age: 14,
        reach_age: Some(3),
        roster: 0x1234_5678,
        news: vec![leaving(), News::Unlimited(vec![1, 2])],
    }
}

fn extended() -> Vec<u8> {
    extend(with_news(&packet(), &[&item(&leaving())]), &[UNKNOWN_NEWS, &item(&leaving())])
}

/// Returns whether nothing was read, or a whole packet.
fn is_whole(bytes: &[u8]) -> bool {
    match Datagram::decode(bytes) {
        None => true,
        Some(Datagram { content: Content::Packet(packet), unknown: 0, .. }) => {
            Packet::decode(&packet.encode()).as_ref() == Some(&*packet)
        }
        Some(_) => false,
    }
}

#[test]
fn truncated_packet() {
    let bytes = packet().encode();
    for length in 0..bytes.len() {
        assert_eq!(Datagram::decode(&bytes[..length]), None, "{length} bytes");
    }
}

/// An extended datagram that was cut off is not read, unless just the extension is missing.
#[test]
fn truncated_extension() {
    let bytes = extended();
    let whole = with_news(&packet(), &[&item(&leaving())]).len();
    for length in 0..bytes.len() {
        let decoded = Datagram::decode(&bytes[..length]);
        assert_eq!(decoded.is_some(), length == whole, "{length} bytes");
    }
}

#[test]
fn flipped_bits() {
    let (plain, extended) = (packet().encode(), extended());
    for bit in 0..8 * extended.len() {
        let mut bytes = extended.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(Datagram::decode(&bytes), None, "bit {bit}");
    }
    for bit in 0..8 * plain.len() {
        let mut bytes = plain.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(is_whole(&bytes), "bit {bit}");
    }
}

proptest! {
    #[test]
    fn random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        prop_assert!(is_whole(&bytes));
    }

    /// Bytes behind a real record get further than those without.
    #[test]
    fn random_rest(rest in prop::collection::vec(any::<u8>(), 0..100), kept in 0_usize..80) {
        let bytes = packet().encode();
        let bytes = [&bytes[..kept.min(bytes.len())], &rest].concat();
        prop_assert!(is_whole(&bytes));
    }

    /// A later build may send anything in an extended datagram: it is read as far as possible.
    #[test]
    fn random_extension(
        news in prop::collection::vec(any::<u8>(), 0..60),
        items in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
    ) {
        let items: Vec<_> = items.iter().map(|it| &it[..]).collect();
        let bytes = extend(with_news(&packet(), &[&item(&leaving()), &news]), &items);
        let datagram = Datagram::decode(&bytes).expect("the sender is known");
        let Content::Packet(read) = datagram.content else { panic!("the kind is known") };
        prop_assert_eq!(read.news.first(), Some(&leaving()));
        let news = read.news.clone();
        prop_assert_eq!(Packet { news, ..packet() }, *read);
    }
}
