use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use mimosabridge::time::Time;

/// When this node last had contact with the rest of the system, and whether it is isolated. Clones
/// share the same state.
#[derive(Clone, Debug, Default)]
pub struct Connectivity {
    last_contact: Arc<AtomicU64>,
    isolated: Arc<AtomicBool>,
}

impl Connectivity {
    /// Creates the state of a node that has not had contact yet.
    pub fn new() -> Connectivity {
        Connectivity::default()
    }

    /// Records a contact.
    pub fn record_contact(&self, now: Time) {
        self.last_contact.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Records whether the node has lost contact.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Relaxed);
    }

    /// Returns when the node last had contact.
    pub fn last_contact(&self) -> Time {
        Time::from_micros(self.last_contact.load(Ordering::Relaxed))
    }

    /// Returns whether the node has lost contact with the rest of the system.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Relaxed)
    }
}
