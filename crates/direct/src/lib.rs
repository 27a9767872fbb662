//! The daemon parts of a node that takes callers and sends straight to backend servers.
//!
//! The decisions are those of the `mimosabridge` library; this crate does the I/O. What callers,
//! servers and the platform call things is passed in by the adapter of a platform.

pub mod backend;
pub mod events;
pub mod feed;
pub mod front;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod wire;
