use serde::{Deserialize, Serialize};

use super::{Content, Datagram, News, Record};
use crate::{config::Stamp, feed::Progress};

/// The largest size of an encoded packet.
pub const MAX_PACKET_BYTES: usize = 448;

/// A packet of the membership protocol between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Packet {
    /// The record of the sender.
    pub from: Record,
    /// The request or response that the packet carries.
    pub kind: Kind,
    /// The configuration that the sender has in force.
    pub config: Option<Stamp>,
    /// Up to where the sender knows the published facts, if it follows them.
    pub progress: Option<Progress>,
    /// The time since the sender, or any node that it receives packets from, last read the
    /// platform, in tenths of a second. It is rounded up, so that it never shrinks from node to
    /// node.
    pub platform_age: u16,
    /// The time since a server last answered the sender, in tenths of a second, if it sends requests
    /// straight to servers and has not lost them. The greatest value also says that none has answered yet. Earlier builds
    /// leave it out then.
    pub reach_age: Option<u8>,
    /// The digest of the roster of the sender.
    pub roster: u32,
    /// News for the receiver.
    pub news: Vec<News>,
}

/// The request or response that a packet carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Requests a [`Kind::Ack`] with the same number.
    Ping(u32),
    /// Answers a ping.
    Ack(u32),
    /// Requests an indirect probe: the receiver pings a third node and relays its answer.
    PingFor {
        /// The number of the unanswered ping, which the relayed answer repeats.
        number: u32,
        /// The node to ping.
        target: Record,
    },
    /// Carries news only.
    Push,
}

impl Packet {
    /// Encodes the packet.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a packet has no type that postcard refuses")
    }

    /// Decodes a packet like [`Datagram::decode`]. Returns nothing if the bytes are damaged, or if the
    /// kind of the packet is unknown.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        match Datagram::decode(bytes)?.content {
            Content::Packet(packet) => Some(*packet),
            Content::News(_) => None,
        }
    }

    /// Returns whether the packet probes a node or answers a probe. Such packets go to all nodes in
    /// turn, and carry what every node must know sooner or later.
    pub fn is_probe(&self) -> bool {
        matches!(self.kind, Kind::Ping(_) | Kind::Ack(_))
    }

    /// Adds news as long as the packet stays within [`MAX_PACKET_BYTES`]. Returns the number of
    /// items that were added.
    pub fn fill(&mut self, news: impl Iterator<Item = News>) -> usize {
        self.fill_except(news, 0)
    }

    /// Adds news like [`Packet::fill`], but keeps room for some bytes of other news.
    pub fn fill_except(&mut self, news: impl Iterator<Item = News>, reserve: usize) -> usize {
        let mut size = self.encode().len();
        let before = self.news.len();
        for item in news {
            size += postcard::to_allocvec(&item).map_or(MAX_PACKET_BYTES, |it| it.len());
            if size + reserve > MAX_PACKET_BYTES {
                break;
            }
            self.news.push(item);
        }
        self.news.len() - before
    }
}
