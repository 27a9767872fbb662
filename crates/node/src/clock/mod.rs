//! The clock of a process.

use mimosabridge::time::Time;
use tokio::time::Instant;

/// Tells the time since the process started its clock. Stands still while tokio's time is paused.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn new() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        // A microsecond is added so that no event is at the origin itself.
        Time::from_micros(self.origin.elapsed().as_micros() as u64 + 1)
    }

    /// Returns the instant of a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + time.since(Time::ZERO)
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
