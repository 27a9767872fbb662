//! A simulation of nodes, servers and callers in virtual time, to replay load patterns.

mod server;
mod world;

pub use self::{
    server::Server,
    world::{Tally, World},
};
