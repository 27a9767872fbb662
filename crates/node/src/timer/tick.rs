use std::time::Duration;

use mimosabridge::time::Time;

/// A point in time that a subscriber asked to be told of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tick {
    /// The time.
    pub now: Time,
    /// How much later than asked the tick comes. A long delay means that the process slept.
    pub late: Duration,
}
