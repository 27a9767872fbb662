use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Weight;
use crate::name::Name;

/// An attempt repeats a lost one if it was sent this much later. Servers that one fault ends do not
/// all end at the same moment, and an earlier attempt may reach another of them.
pub(super) const REPEAT_GAP: Duration = Duration::from_millis(50);

/// A lost attempt that may have crashed its server, as one node tells it to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The server.
    pub server: Name,
    /// The hash of the name of the server's service.
    pub service: u32,
    /// Distinguishes the starts of the server.
    pub born: u64,
    /// How long ago the attempt at the server was lost. A crash may be older than the process that
    /// learns of it.
    #[serde(with = "super::millis")]
    pub age: Duration,
    /// Whether the attempt repeats an earlier one with the same content that was lost. Attempts
    /// that were under way together may have been ended by one fault.
    pub is_repeat: bool,
    /// How strongly the loss speaks against the content.
    pub weight: Weight,
}
