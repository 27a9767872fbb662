use std::time::Duration;

use super::{Peer, State};
use crate::{name::Name, reach::Helper, time::Time};

/// How long another node counts as reaching servers after one has answered it. In a large fleet it
/// takes some seconds to hear of a node again.
pub(super) const MAX_REACH_AGE: Duration = Duration::from_secs(4);

impl Peer {
    /// Returns whether another node has lately said that it has lost the servers, so that it may need this one.
    pub fn is_needed(&self, now: Time) -> bool {
        let is_alive = |it: &Name| self.roster().get(it).is_some_and(|it| it.state == State::Alive);
        let mut lacking = self.lacking.iter();
        lacking.any(|(name, said)| now.since(*said) < MAX_REACH_AGE && is_alive(name))
    }

    /// Returns the nodes that have lately reached a server.
    pub fn helpers(&self, now: Time) -> Vec<Helper> {
        let helper = |name, reached: &Time| {
            let record = self.roster().get(name).filter(|it| it.state == State::Alive)?;
            let is_recent = now.since(*reached) < MAX_REACH_AGE;
            is_recent.then(|| Helper {
                name: record.name.clone(),
                address: record.peer,
                is_near: record.data_centre == self.own().data_centre,
            })
        };
        self.reached_by.iter().filter_map(|(name, reached)| helper(name, reached)).collect()
    }
}
