//! The HTTP server for callers.

mod accept;
mod connection;
mod drive;
mod evidence;
mod incoming;
mod notices;
mod relay;
mod respond;
mod serve;

pub use self::{accept::accept, serve::Origin};
