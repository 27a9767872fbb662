use std::{sync::Arc, time::Duration};

use super::Load;
use crate::{name::Name, outcome::Trust, place::Block, time::Time};

/// What an entry knows about one backend server.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The name of the server.
    pub name: Name,
    /// The block of the server.
    pub block: Block,
    /// The number of requests that the server runs at once when it is warm.
    pub slots: u32,
    /// The additional time of a round trip to the server if it is in another data centre than the
    /// entry.
    pub distance: Duration,
    /// Whether the data centre of the server accepts new work.
    pub open: bool,
    /// Whether the server is known to be leaving.
    pub leaving: bool,
    /// The gates that are ranked for the server, best first.
    pub gates: Arc<[Name]>,
    /// The load of the server.
    pub load: Load,
}

impl Replica {
    /// Returns whether the server accepts new work.
    pub fn takes_work(&self) -> bool {
        self.open && !self.leaving
    }

    /// Returns the cost of sending an attempt to the replica: first whether it is unusable, then
    /// the expected time. `lacks_version` is whether it does not hold the version of the snapshot.
    pub fn cost(&self, lacks_version: bool, now: Time) -> (bool, Duration) {
        let unusable = lacks_version || self.load.trust(now) >= Trust::Down;
        (unusable, self.load.expected_latency(self.slots, now) + self.distance)
    }

    /// Returns whether the server is cold or ramping up, and needs evidence to gain trust.
    pub fn is_ramping(&self, now: Time) -> bool {
        matches!(self.load.known_trust(now), Some(Trust::Cold | Trust::Ramping))
    }
}
