//! Quarantine for requests whose content crashes backend servers.
//!
//! The load pattern: a content comes again and again, at any node, and ends each server that runs it.
//! A [`Detector`] finds out which lost attempts were crashes; a [`List`] keeps them for all contents
//! and says what other nodes must be told.

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
