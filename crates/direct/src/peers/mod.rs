//! Communication between nodes: who is alive, what crashed servers, and the published facts for
//! nodes that do not read the store or that it refuses.

mod exchange;
mod fetch;
mod lag;
mod news;
mod packed;
mod rpc;
mod waitlist;

pub use self::{
    exchange::{Exchange, start},
    fetch::{Connection, fetch},
    packed::{UnpackError, pack, unpack},
    rpc::{Question, Reply, UptimeAge},
};
