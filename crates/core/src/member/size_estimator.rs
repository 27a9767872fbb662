use std::time::Duration;

use crate::time::Time;

/// How long after its start a node waits to discover others before it lowers its estimate.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Estimates how many nodes share the servers.
///
/// When all nodes start at once, each has discovered few others at first. If each of them took the
/// share of a small fleet, together they would open more connections than servers accept.
#[derive(Clone, Copy, Debug)]
pub struct SizeEstimator {
    started: Time,
}

impl SizeEstimator {
    /// Creates the estimator of a node that starts now.
    pub fn new(now: Time) -> SizeEstimator {
        SizeEstimator { started: now }
    }

    /// Returns the estimated number of nodes. `known` is how many this node knows, itself included,
    /// and `before` is the previous estimate or the configured assumption. Nodes that do not answer
    /// count: they may still serve on the other side of a network partition.
    pub fn estimate(&self, known: u32, before: u32, now: Time) -> u32 {
        if now.since(self.started) < SETTLE_TIME {
            return before.max(known);
        }
        // A node that has discovered no other has no evidence of the size.
        if known < 2 { before } else { known }
    }
}
