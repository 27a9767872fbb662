//! Tools for operators, callers and measurement.

pub mod config;
pub mod load;
