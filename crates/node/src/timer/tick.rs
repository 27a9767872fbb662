use std::time::Duration;

use mimosabridge::time::Time;

/// A notification to a subscriber that a requested time was reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tick {
    /// The time.
    pub now: Time,
    /// The delay of the tick after the requested time. A long delay means that the process was
    /// paused.
    pub late: Duration,
}
