//! When a node that was told to stop takes no more connections, and when it ends.

mod phase;
#[allow(clippy::module_inception)]
mod stop;

pub use self::{phase::Phase, stop::Stop};
