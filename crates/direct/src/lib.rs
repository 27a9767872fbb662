//! The I/O of a node that serves callers and sends requests directly to backend servers.
//!
//! The `mimosabridge` library makes the decisions; this crate does the I/O. The adapter of a
//! platform passes in the names that callers, servers and the platform use.

pub mod backend;
pub mod events;
pub mod feed;
pub mod front;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod wire;
