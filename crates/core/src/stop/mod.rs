//! Planned stops: which requests a stopping node takes, when it closes its connections and when its
//! process ends.

mod load;
mod phase;
#[allow(clippy::module_inception)]
mod stop;

pub use self::{load::Load, phase::Phase, stop::Stop};
