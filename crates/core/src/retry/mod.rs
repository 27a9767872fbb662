//! Limits on the extra load of retries and hedges, and the latencies that decide when to hedge.

mod budget;
mod latency;
mod window;

pub use self::{
    budget::Budget,
    latency::{Latency, MAX_LATENCIES},
    window::{Allowance, Window},
};
