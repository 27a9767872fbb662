use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Crash;

/// What one node tells another about a content. Ages and remaining times stand for times, as the
/// clocks of nodes differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Evidence {
    /// A server may have crashed while it ran the content.
    Crash(Crash),
    /// A server of the service with this hash has answered the content, which was sent this long
    /// ago. Earlier crashes of the service do not count.
    Cleared(u32, #[serde(with = "super::millis")] Duration),
    /// The content is quarantined for this time.
    Quarantined(#[serde(with = "super::millis")] Duration),
}
