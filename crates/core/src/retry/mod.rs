//! Bounds on the extra load that retries and hedges cause, and when to hedge.

mod budget;
mod latency;
mod window;

pub use self::{
    budget::Budget,
    latency::Latency,
    window::{Allowance, Window},
};
