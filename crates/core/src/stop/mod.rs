//! Planned stops: which requests a stopping node takes, when it closes its connections and when its
//! process ends.

mod grace;
mod load;
mod phase;
#[allow(clippy::module_inception)]
mod stop;

pub use self::{grace::Grace, load::Load, phase::Phase, stop::Stop};
