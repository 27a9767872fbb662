//! Quarantine for requests whose content crashes backend servers.
//!
//! Answers a content that comes again and again, at any node, and ends each server that runs it.

mod crash;
mod detector;
mod list;

pub use self::{
    crash::Crash,
    detector::{Detector, Loss, Sign},
    list::{CRASH_THRESHOLD, Effect, List},
};
