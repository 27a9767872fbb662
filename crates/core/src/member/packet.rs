use serde::{Deserialize, Serialize};

use super::{News, Record};
use crate::config::Stamp;

/// The most bytes of a packet.
pub const MAX_PACKET: usize = 448;

/// What nodes send one another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Packet {
    /// The sender.
    pub from: Record,
    /// What the packet asks or answers.
    pub kind: Kind,
    /// The configuration that the sender has in force.
    pub config: Option<Stamp>,
    /// Tenths of a second since any node that the sender hears has read the platform, rounded up,
    /// so that the age never shrinks on its way.
    pub platform_age: u16,
    /// A digest of the roster of the sender.
    pub roster: u32,
    /// News for the receiver.
    pub news: Vec<News>,
}

/// What a packet asks or answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Asks for an [`Kind::Ack`] with the same number.
    Ping(u32),
    /// Answers a ping.
    Ack(u32),
    /// Asks the receiver to ping a third node and to pass on its answer.
    PingFor {
        /// The number of the ping that went unanswered.
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

    /// Decodes a packet, or returns nothing if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        postcard::from_bytes(bytes).ok()
    }

    /// Adds news while the packet stays within [`MAX_PACKET`] bytes. Returns how many fitted.
    pub fn fill(&mut self, news: impl Iterator<Item = News>) -> usize {
        let mut size = self.encode().len();
        let before = self.news.len();
        for item in news {
            size += postcard::to_allocvec(&item).map_or(MAX_PACKET, |it| it.len());
            if size > MAX_PACKET {
                break;
            }
            self.news.push(item);
        }
        self.news.len() - before
    }
}
