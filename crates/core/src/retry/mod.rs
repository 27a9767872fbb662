//! Bounds on the extra load that retries and hedges cause, and when to hedge.

mod budget;
mod latency;

pub use self::{budget::Budget, latency::Latency};
