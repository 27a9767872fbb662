//! The clock of a process.

use mimosabridge::time::Time;
use tokio::time::Instant;

/// Measures the time since the clock was started. Stops while tokio's time is paused.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn new() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        // Adds one microsecond so that no event has the time of the origin itself.
        Time::from_micros(self.origin.elapsed().as_micros() as u64 + 1)
    }

    /// Converts a time of this clock to an instant.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + time.since(Time::ZERO)
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
