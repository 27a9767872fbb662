//! Tools for operators, callers and measurement.

pub mod config;
