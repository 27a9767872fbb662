use rand::Rng;
use serde::Deserialize;

use super::{Action, Kind, News, Packet, Peer, Record, extension};
use crate::{config::Stamp, feed::Progress, time::Time};

/// What this build could read of a datagram from another node, which may be of a later build.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Datagram {
    /// The record of the sender.
    pub sender: Record,
    /// What it tells.
    pub content: Content,
    /// The number of kinds, news items and fields that were passed over.
    pub unknown: u32,
}

/// The readable content of a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Content {
    /// A packet, with all news that could be read.
    Packet(Box<Packet>),
    /// The news that could be read beside a packet of an unknown kind.
    News(Vec<News>),
}

/// The fields of a packet between the record of the sender and the news.
type Head = (Kind, Option<Stamp>, Option<Progress>, u16, Option<u8>, u32);

impl Datagram {
    /// Reads a datagram. Returns nothing if it is damaged, or its sender can't be read.
    ///
    /// What this build doesn't know is passed over in an extended datagram only: its hash shows that
    /// it is not damaged. In any other one, an unknown kind and a damaged byte look the same, so that
    /// it is read whole or not at all.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        match extension::split(bytes) {
            Some((packet, items)) => Datagram::decode_extended(packet, items),
            None => Datagram::decode_whole(bytes),
        }
    }

    fn decode_whole(bytes: &[u8]) -> Option<Datagram> {
        let (packet, rest) = take::<Packet>(bytes)?;
        let sender = packet.from.clone();
        let content = Content::Packet(Box::new(packet));
        rest.is_empty().then_some(Datagram { sender, content, unknown: 0 })
    }

    fn decode_extended(packet: &[u8], items: &[u8]) -> Option<Datagram> {
        let (sender, rest) = take::<Record>(packet)?;
        let (added, unknown_items) = decode_items(items);
        let Some((head, rest)) = take::<Head>(rest) else {
            let content = Content::News(added);
            return Some(Datagram { sender, content, unknown: 1 + unknown_items });
        };
        let (kind, config, progress, platform_age, reach_age, roster) = head;
        let (mut news, unknown) = decode_news(rest);
        news.extend(added);
        let from = sender.clone();
        let packet = Packet { from, kind, config, progress, platform_age, reach_age, roster, news };
        let content = Content::Packet(Box::new(packet));
        Some(Datagram { sender, content, unknown: unknown + unknown_items })
    }
}

impl Peer {
    /// Handles a datagram from another node.
    pub fn on_datagram(
        &mut self,
        datagram: Datagram,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        match datagram.content {
            Content::Packet(packet) => self.on_packet(*packet, now, rng),
            Content::News(news) => self.on_unknown_kind(&datagram.sender, news, now, rng),
        }
    }
}

/// Decodes the news of a packet up to the first unknown item, whose end can't be found. Returns the
/// number of items and fields that were passed over, too.
fn decode_news(bytes: &[u8]) -> (Vec<News>, u32) {
    let Some((count, mut rest)) = take::<u32>(bytes) else { return (Vec::new(), 1) };
    let count = count.min(rest.len() as u32);
    let mut news = Vec::new();
    for left in (1..=count).rev() {
        let Some((item, after)) = take::<News>(rest) else { return (news, left) };
        news.push(item);
        rest = after;
    }
    (news, u32::from(!rest.is_empty()))
}

/// Decodes the items of an extension, each of which has its length. Returns the number of items that
/// are unknown or have further fields, too.
fn decode_items(mut items: &[u8]) -> (Vec<News>, u32) {
    let mut news = Vec::new();
    let mut unknown = 0;
    while !items.is_empty() {
        let Some((item, after)) = extension::take_item(items) else { return (news, unknown + 1) };
        items = after;
        let decoded = take::<News>(item);
        unknown += u32::from(decoded.as_ref().is_none_or(|(_, rest)| !rest.is_empty()));
        news.extend(decoded.map(|(it, _)| it));
    }
    (news, unknown)
}

fn take<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<(T, &'a [u8])> {
    postcard::take_from_bytes(bytes).ok()
}
