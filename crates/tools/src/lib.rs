//! Tools for operators, callers and measurement.

pub mod bench;
pub mod config;
pub mod explain;
pub mod load;
pub mod status;
pub mod usage;
