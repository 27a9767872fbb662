//! The HTTP client for backend servers, over connections that this node counts and pools.

mod classify;
mod exchange;
mod limited;
mod link;
mod pool;
mod reply;

pub use self::{
    classify::classify,
    exchange::{Completion, Outgoing, exchange},
    link::{Link, LinkError},
    pool::Pool,
    reply::Reply,
};
