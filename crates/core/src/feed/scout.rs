use std::{cmp::Ordering, collections::HashSet, time::Duration};

use crate::{
    member::{Record, Roster, State},
    time::Time,
};

/// How often one node of the fleet begins a watch beside the readers.
const INTERVAL: Duration = Duration::from_millis(700);

/// How long such a watch waits for a change: longer than the interval, so that two overlap.
pub const SCOUT_WAIT: Duration = Duration::from_secs(1);

/// How long after its start a node does not watch beside the readers. It knows few others at first,
/// and would take more turns than its own.
const MIN_AGE: Duration = Duration::from_secs(5);

/// Decides when a node that follows a reader watches the store itself for a moment.
///
/// A reader whose watch hangs learns so only when the watch times out, and a store that falls
/// silent can do that to the readers of all data centres at once. Therefore the followers of the
/// whole fleet watch in turn, one after another, and announce urgent changes like a reader. The
/// number of these calls depends neither on the number of nodes nor on that of changes, nor on
/// whether the store answers.
///
/// The turn follows from the time of day, so that nodes need not agree on it. A node whose clock is
/// wrong takes its turn at another moment.
#[derive(Clone, Copy, Debug)]
pub struct Scout {
    /// When the node was started.
    started: Time,
    /// The last slot of the time of day that was looked at.
    slot: u128,
}

impl Scout {
    /// Creates the scout of a node that starts now.
    pub fn new(now: Time) -> Scout {
        Scout { started: now, slot: 0 }
    }

    /// Returns whether it is this node's turn to begin a watch. `time_of_day` is the time since the
    /// Unix epoch. To be called several times in each interval.
    pub fn is_due(
        &mut self,
        roster: &Roster,
        own: &Record,
        time_of_day: Duration,
        now: Time,
    ) -> bool {
        let slot = time_of_day.as_millis() / INTERVAL.as_millis();
        if slot == self.slot || now.since(self.started) < MIN_AGE {
            return false;
        }
        self.slot = slot;
        let Some((rank, followers)) = rank(roster, own) else { return false };
        slot % followers == rank
    }
}

/// Returns the rank of a node among the followers of the fleet, and their number. Neighbours by name
/// often fail together, so that the order is that of the hashes. Returns `None` for a reader.
fn rank(roster: &Roster, own: &Record) -> Option<(u128, u128)> {
    let mut readers = HashSet::new();
    let (mut rank, mut followers) = (0, 0);
    let mut is_follower = false;
    for record in roster.records().filter(|it| it.state == State::Alive) {
        let is_reader = readers.insert(&record.data_centre);
        if is_reader {
            continue;
        }
        followers += 1;
        match (record.key(), &record.name).cmp(&(own.key(), &own.name)) {
            Ordering::Less => rank += 1,
            Ordering::Equal => is_follower = true,
            Ordering::Greater => {}
        }
    }
    is_follower.then_some((rank, followers))
}
