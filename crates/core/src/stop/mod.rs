//! Planned stops: when a stopping node closes its connections and when its process ends.

mod phase;
#[allow(clippy::module_inception)]
mod stop;

pub use self::{phase::Phase, stop::Stop};
