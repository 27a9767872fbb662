//! The codecs of the build in production (commit ff76222), with its definitions of everything that
//! nodes send to one another. Only a change of the build in production changes them.

mod packet;
mod update;

use serde::{Serialize, de::DeserializeOwned};

pub use self::{packet::Packet, update::Update};

/// Decodes a packet as the build in production does.
pub fn decode(bytes: &[u8]) -> Option<Packet> {
    postcard::from_bytes(bytes).ok()
}

/// Encodes a packet as the build in production does.
pub fn encode(packet: &Packet) -> Vec<u8> {
    postcard::to_allocvec(packet).expect("the packet can be encoded")
}

/// Reads a message of a call as the build in production does.
pub fn read<T: DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}

/// Writes a message of a call as the build in production does.
pub fn write<T: Serialize>(message: &T) -> String {
    serde_json::to_string(message).expect("the message can be written")
}
