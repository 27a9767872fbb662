//! Requests whose content crashes backend servers.

mod list;

pub use self::list::{CONVICTING_CRASHES, List};
