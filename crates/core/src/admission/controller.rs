use std::time::Duration;

use crate::{config::Class, time::Time};

/// The length of a window of sub-requests. Each window halves the weight of the earlier ones in the
/// pressure.
const WINDOW: Duration = Duration::from_millis(500);

/// The fewest sub-requests in a window from which pressure is computed. A window with fewer counts
/// as one without pressure.
const MIN_SAMPLES: u32 = 20;

/// Admits requests by class: the less urgent a class, the earlier its requests are rejected.
///
/// Two values lead to rejection: the number of requests under way, and the pressure, which is the
/// share of the sub-requests that gates refused because of overload.
#[derive(Clone, Debug)]
pub struct Controller {
    capacity: usize,
    running: usize,
    sent: u32,
    refused: u32,
    pressure: f64,
    window_start: Time,
}

impl Controller {
    /// Creates a controller that admits up to `capacity` requests at once.
    pub fn new(capacity: usize) -> Controller {
        Controller {
            capacity,
            running: 0,
            sent: 0,
            refused: 0,
            pressure: 0.0,
            window_start: Time::ZERO,
        }
    }

    /// Admits a request, or returns false. Call [`Controller::release`] at the end of each admitted
    /// request.
    pub fn try_admit(&mut self, class: Class, now: Time) -> bool {
        self.update_pressure(now);
        let allowed = self.capacity * capacity_percent(class) / 100;
        if self.running >= allowed || self.pressure > pressure_limit(class) {
            return false;
        }
        self.running += 1;
        true
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records the end of a sub-request, and whether it was refused because of overload.
    pub fn on_outcome(&mut self, refused: bool, now: Time) {
        self.update_pressure(now);
        self.sent += 1;
        self.refused += u32::from(refused);
    }

    /// Returns the number of requests under way.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the share of the sub-requests that were refused because of overload, from 0 to 1.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    fn update_pressure(&mut self, now: Time) {
        if now.since(self.window_start) < WINDOW {
            return;
        }
        let share = if self.sent < MIN_SAMPLES {
            0.0
        } else {
            f64::from(self.refused) / f64::from(self.sent)
        };
        self.pressure = (self.pressure + share) / 2.0;
        self.sent = 0;
        self.refused = 0;
        self.window_start = now;
    }
}

/// Returns the percentage of the capacity that a class may use.
fn capacity_percent(class: Class) -> usize {
    match class {
        Class::Interactive => 100,
        Class::Planning => 85,
        Class::Batch => 60,
    }
}

/// Returns the pressure above which the requests of a class are rejected.
fn pressure_limit(class: Class) -> f64 {
    match class {
        Class::Interactive => 1.0,
        Class::Planning => 0.25,
        Class::Batch => 0.05,
    }
}
