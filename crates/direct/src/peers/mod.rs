//! What nodes tell one another: who is alive, what crashed servers, and what is published to those
//! that the store turns away.

mod exchange;
mod fetch;
mod rpc;

pub use self::{
    exchange::{Exchange, start},
    fetch::fetch,
    rpc::Reply,
};
