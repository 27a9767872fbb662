use std::{sync::Arc, time::Duration};

use rand::RngExt;

use super::Balancer;
use crate::{directory::Entry, time::Time};

/// The longest rest that a server is granted. It bounds the harm of a wrong value.
pub const MAX_REST: Duration = Duration::from_secs(600);

/// How long after its rest a server gets few requests at a time. Refused callers come back spread over
/// this time.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// How soon after the rest, and after one more request at a time, the next one is allowed.
const RETURN_STEP: Duration = Duration::from_millis(100);

/// Handles servers that reject requests and say for how long they want none from this node. They get
/// none meanwhile, and few at a time for a moment afterwards. It says nothing of their health.
impl Balancer {
    /// Records that a server wants no requests for some time. The latest end counts. Returns whether
    /// its rest begins.
    pub fn on_resting(&mut self, server: &Arc<Entry>, rest: Duration, now: Time) -> bool {
        let Some(server) = self.servers.of_mut(server) else { return false };
        let is_new = server.rests_until.is_none_or(|it| it <= now);
        server.rests_until = server.rests_until.max(Some(now + rest.min(MAX_REST)));
        is_new
    }

    /// Returns whether a server wants no requests now.
    pub fn is_resting(&self, server: &Entry, now: Time) -> bool {
        self.rests_until(server).is_some_and(|it| now < it)
    }

    /// Returns until when a server wants or wanted no requests, if it has said so.
    pub(super) fn rests_until(&self, server: &Entry) -> Option<Time> {
        self.servers.of(server).and_then(|it| it.rests_until)
    }

    /// Returns how many requests a server may run for this node, which has `max` connections for it.
    pub(super) fn room(&self, server: &Entry, max: usize, now: Time) -> usize {
        let rested = self.rests_until(server).map(|it| now.since(it));
        let Some(rested) = rested.filter(|it| *it < RETURN_TIME) else { return max };
        let steps = rested.as_micros() / RETURN_STEP.as_micros();
        max.min(1 + steps as usize)
    }

    /// Returns how long after the rest of a server a refused caller comes back.
    pub(super) fn return_delay(&mut self) -> Duration {
        RETURN_TIME.mul_f64(self.rng.random())
    }
}
