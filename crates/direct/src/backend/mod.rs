//! HTTP towards backend servers, over connections that this node counts and keeps.

mod classify;
mod exchange;
mod link;
mod pool;
mod reply;

pub use self::{
    classify::classify,
    exchange::{Ending, Outgoing, exchange},
    link::{Link, LinkError},
    pool::Pool,
    reply::Reply,
};
