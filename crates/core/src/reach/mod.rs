//! Whether this node reaches the backend servers, and which nodes do if it does not.
//!
//! The load pattern: the network cuts some nodes off from all servers for seconds, while callers and
//! other nodes still reach them. Without this, each request finds out anew that no server answers.

mod helper;
mod latencies;
#[allow(clippy::module_inception)]
mod reach;
mod relay;

pub use self::{
    helper::Helper,
    latencies::Latencies,
    reach::{Reach, Status},
    relay::{Ending, Relay, Step},
};
