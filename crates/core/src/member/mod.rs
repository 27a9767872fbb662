//! Membership and gossip: which nodes are alive, and the news that they exchange.
//!
//! A [`Peer`] probes one other node each round, asks two others to probe a node that does not
//! answer, and suspects a node before it declares it dead. News is piggybacked on the probes;
//! urgent news is also pushed at once. The size of a packet is bounded, whatever the size of the
//! fleet.

mod action;
mod datagram;
mod detector;
mod extension;
mod helpers;
mod herald;
mod mark;
mod nearby;
mod news;
mod outbox;
mod packet;
mod peer;
mod record;
mod roster;
mod settings;
mod size_estimator;
mod unknown;

pub use self::{
    action::Action,
    datagram::{Content, Datagram},
    detector::Detector,
    mark::Mark,
    news::News,
    outbox::Outbox,
    packet::{Kind, Packet},
    peer::Peer,
    record::{Incarnation, Record, Roles, State},
    roster::{Effect, Roster},
    settings::Settings,
    size_estimator::SizeEstimator,
    unknown::Unknown,
};
