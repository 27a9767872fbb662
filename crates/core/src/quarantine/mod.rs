//! Quarantine for requests whose content crashes backend servers.

mod crash_detector;
mod list;

pub use self::{
    crash_detector::CrashDetector,
    list::{CRASH_THRESHOLD, List},
};
