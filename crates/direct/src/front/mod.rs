//! The HTTP server for callers.

mod accept;
mod drive;
mod evidence;
mod incoming;
mod linger;
mod notices;
mod relay;
mod respond;
mod serve;
mod transport;

pub use self::{accept::accept, serve::Origin};
