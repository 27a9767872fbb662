//! What a node knows of the fleet: the configuration in force and the other nodes.

mod client;
mod keeper;
mod message;
mod pulse;
mod reader;
mod rpc;
mod seeds;
mod server;
mod view;

pub use self::{
    client::{Client, FetchError},
    keeper::{Keeper, Parts},
    message::Message,
    pulse::Pulse,
    rpc::{ConfigReply, PeerClient, PeerServer, RosterReply},
    server::Server,
    view::{Member, View},
};
