//! The HTTP client for backend servers, over connections that this node counts and pools.

mod classify;
mod exchange;
mod health;
mod limited;
mod link;
mod pool;
mod reply;

pub use self::{
    classify::classify,
    exchange::{Completion, ONCE_MAX_IDLE, Outgoing, exchange},
    health::{HealthError, ask_health},
    link::{Link, LinkError},
    pool::Pool,
    reply::Reply,
};
