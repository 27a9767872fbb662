//! The gate daemon: takes calls from entries and sends their sub-requests to backend servers.

mod actor;
mod job;
mod message;
mod rpc;
mod server;

pub use self::{
    actor::Actor,
    message::Message,
    rpc::{GateClient, GateServer},
    server::{MAX_MESSAGE, Server},
};
