//! How much memory the answers that a node is reading, or has read and not passed on, take together.

mod budget;

pub use self::budget::{Budget, Share};
