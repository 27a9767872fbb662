use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use mimosabridge::time::Time;

/// When this node last heard from the rest of the system. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct Pulse {
    contact: Arc<AtomicU64>,
    isolated: Arc<AtomicBool>,
}

impl Pulse {
    /// Creates a pulse without any contact.
    pub fn new() -> Pulse {
        Pulse::default()
    }

    /// Takes note of a contact.
    pub fn beat(&self, now: Time) {
        self.contact.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Takes note of whether the node has lost contact.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Relaxed);
    }

    /// Returns when the node last had contact.
    pub fn contact(&self) -> Time {
        Time::from_micros(self.contact.load(Ordering::Relaxed))
    }

    /// Returns whether the node has lost contact with the rest of the system.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Relaxed)
    }
}
