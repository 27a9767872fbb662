//! The HTTP client for backend servers, over connections that this node counts and pools.

mod classify;
mod exchange;
mod health;
mod identity;
mod limited;
mod link;
mod memory;
mod notice;
mod pool;
mod reply;
mod screen;

pub use self::{
    classify::classify,
    exchange::{Completion, Outgoing, exchange},
    health::{Health, HealthError, ask_health},
    identity::Identity,
    link::{History, Link, LinkError},
    memory::Memory,
    notice::Notice,
    pool::Pool,
    reply::Reply,
};
