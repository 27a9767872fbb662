use std::{sync::Arc, time::Duration};

use super::Balancer;
use crate::{directory::Entry, time::Time};

/// The share of the drain time for which a leaving server may get requests. The rest is for requests
/// that are on their way.
const USE_FRACTION: f64 = 0.9;

/// Handles servers that say in their answers that they leave. Others serve first; until the drain time
/// is nearly over, a leaving one serves what no other can.
impl Balancer {
    /// Records that a server has said that it leaves, for good. Returns whether that is new.
    pub fn on_leaving(&mut self, server: &Arc<Entry>, now: Time) -> bool {
        let Some(server) = self.servers.of_mut(server) else { return false };
        let is_new = server.leaves_since.is_none();
        server.leaves_since.get_or_insert(now);
        is_new
    }

    /// Returns whether a server has said that it leaves.
    pub fn is_leaving(&self, server: &Entry) -> bool {
        self.leaves_since(server).is_some()
    }

    /// Returns whether a server has said that it leaves so long ago that it must get nothing.
    pub(super) fn has_left(&self, server: &Entry, now: Time) -> bool {
        let use_time: Duration = self.settings.drain_time.mul_f64(USE_FRACTION);
        self.leaves_since(server).is_some_and(|it| now.since(it) >= use_time)
    }

    fn leaves_since(&self, server: &Entry) -> Option<Time> {
        self.servers.of(server).and_then(|it| it.leaves_since)
    }
}
