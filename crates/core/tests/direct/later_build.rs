//! Datagrams of a later build, written byte by byte after docs/design/platform.md.

use mimosabridge::member::{News, Packet};
use xxhash_rust::xxh3::xxh3_64;

/// A kind of news that this build doesn't know, with some fields.
pub const UNKNOWN_NEWS: &[u8] = &[8, 3, b'x', b'y', b'z', 0xff, 1];

/// Returns the bytes of a news item of this build.
pub fn item(news: &News) -> Vec<u8> {
    postcard::to_allocvec(news).expect("news can be encoded")
}

/// Returns a packet whose news is given in bytes.
pub fn with_news(packet: &Packet, news: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Packet { news: Vec::new(), ..packet.clone() }.encode();
    assert_eq!(bytes.pop(), Some(0), "the packet ends with the number of its news");
    bytes.push(news.len() as u8);
    bytes.extend(news.concat());
    bytes
}

/// Extends the bytes of a packet by items.
pub fn extend(mut bytes: Vec<u8>, items: &[&[u8]]) -> Vec<u8> {
    let start = bytes.len();
    for item in items {
        bytes.push(item.len() as u8);
        bytes.extend(*item);
    }
    let size = (bytes.len() - start) as u16;
    bytes.extend(size.to_le_bytes());
    let hash = xxh3_64(&bytes);
    bytes.extend(hash.to_le_bytes());
    bytes
}
