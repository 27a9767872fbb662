//! The daemons of mimosabridge: entries, which accept requests of callers, and gates, which send
//! sub-requests to backend servers. The decisions are made by the [`mimosabridge`] library.

pub mod admin;
pub mod backend;
pub mod clock;
pub mod entry;
pub mod events;
pub mod fleet;
pub mod gate;
pub mod metrics;
pub mod node;
pub mod platform;
pub mod rpc;
pub mod timer;
pub mod trace;
