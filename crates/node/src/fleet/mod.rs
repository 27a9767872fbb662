//! What a node knows about the fleet: the configuration in force and the other nodes.

mod actor;
mod client;
mod connectivity;
mod message;
mod reader;
mod rpc;
mod seeds;
mod server;
mod view;

pub use self::{
    actor::{Actor, Parts},
    client::{Client, FetchError},
    connectivity::Connectivity,
    message::Message,
    rpc::{ConfigReply, PeerClient, PeerServer, RosterReply},
    server::Server,
    view::{Member, View},
};
