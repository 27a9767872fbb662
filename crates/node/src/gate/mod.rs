//! The gate daemon: takes calls from entries and sends their sub-requests to backend servers.

mod actor;
mod job;
mod message;
mod rpc;
mod server;

pub use self::{
    actor::{Actor, Parts},
    message::Message,
    rpc::{GateClient, GateServer},
    server::Server,
};
