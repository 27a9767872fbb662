//! The HTTP server for callers.

mod accept;
mod drive;
mod evidence;
mod incoming;
mod respond;
mod serve;

pub use self::accept::accept;
