use std::time::Duration;

use crate::{config::Class, time::Time};

/// How fast old sub-requests lose weight in the pressure.
const WINDOW: Duration = Duration::from_millis(500);

/// Sub-requests in a window below which it says nothing of the pressure.
const MIN_SAMPLES: u32 = 20;

/// Admits requests by class: the less urgent a class, the earlier it is turned away.
///
/// Two signs close the door: the requests under way, and the pressure, which is the part of the
/// sub-requests that gates refused for want of room.
#[derive(Clone, Debug)]
pub struct Door {
    capacity: usize,
    running: usize,
    sent: u32,
    refused: u32,
    pressure: f64,
    turned: Time,
}

impl Door {
    /// Creates a door for `capacity` requests under way.
    pub fn new(capacity: usize) -> Door {
        Door { capacity, running: 0, sent: 0, refused: 0, pressure: 0.0, turned: Time::ZERO }
    }

    /// Admits a request, or returns false. An admitted request must [`Door::leave`].
    pub fn enter(&mut self, class: Class, now: Time) -> bool {
        self.turn(now);
        let allowed = self.capacity * room_percent(class) / 100;
        if self.running >= allowed || self.pressure > pressure_limit(class) {
            return false;
        }
        self.running += 1;
        true
    }

    /// Takes note that an admitted request is over.
    pub fn leave(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes note of the end of a sub-request, and whether it was refused for want of room.
    pub fn on_outcome(&mut self, refused: bool, now: Time) {
        self.turn(now);
        self.sent += 1;
        self.refused += u32::from(refused);
    }

    /// Returns the number of requests under way.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the part of the sub-requests that were refused for want of room, from 0 to 1.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    fn turn(&mut self, now: Time) {
        if now.since(self.turned) < WINDOW {
            return;
        }
        let fresh = if self.sent < MIN_SAMPLES {
            0.0
        } else {
            f64::from(self.refused) / f64::from(self.sent)
        };
        self.pressure = (self.pressure + fresh) / 2.0;
        self.sent = 0;
        self.refused = 0;
        self.turned = now;
    }
}

/// The part of the capacity that a class may use, in hundredths.
fn room_percent(class: Class) -> usize {
    match class {
        Class::Interactive => 100,
        Class::Planning => 85,
        Class::Batch => 60,
    }
}

/// The pressure above which a class is turned away.
fn pressure_limit(class: Class) -> f64 {
    match class {
        Class::Interactive => 1.0,
        Class::Planning => 0.25,
        Class::Batch => 0.05,
    }
}
