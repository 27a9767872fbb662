use std::{sync::Arc, time::Duration};

use super::Load;
use crate::{name::Name, outcome::Trust, place::Block, time::Time};

/// What an entry knows of one backend server.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The server.
    pub name: Name,
    /// The block of the server.
    pub block: Block,
    /// Requests that the server runs at once when it is warm.
    pub slots: u32,
    /// What a round trip to the server costs beyond the data centre of the entry.
    pub distance: Duration,
    /// Whether the data centre of the server receives new work.
    pub open: bool,
    /// Whether the server is known to be leaving.
    pub leaving: bool,
    /// The gates that are ranked for the server, best first.
    pub gates: Arc<[Name]>,
    /// The load on the server.
    pub load: Load,
}

impl Replica {
    /// Returns whether the server may be given new work.
    pub fn takes_work(&self) -> bool {
        self.open && !self.leaving
    }

    /// Returns how the replica compares with others: first by whether it can answer at all, then
    /// by the expected time. `lacks` tells that it does not hold the version.
    pub fn cost(&self, lacks: bool, now: Time) -> (bool, Duration) {
        let unusable = lacks || self.load.trust(now) >= Trust::Down;
        (unusable, self.load.wait(self.slots, now) + self.distance)
    }

    /// Returns whether the server needs evidence to gain trust.
    pub fn is_ramping(&self, now: Time) -> bool {
        matches!(self.load.known_trust(now), Some(Trust::Cold | Trust::Ramping))
    }
}
