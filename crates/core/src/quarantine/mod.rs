//! Quarantine for requests whose content crashes backend servers.
//!
//! Answers a content that comes again and again, at any node, and ends each server that runs it.

mod content;
mod crash;
mod detector;
mod list;

pub use self::{
    content::CRASH_THRESHOLD,
    crash::Crash,
    detector::{Detector, Loss, Sign},
    list::{Effect, List},
};
