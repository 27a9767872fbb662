use std::time::Duration;

use super::{Context, Run};
use crate::balance::Waiter;

/// The least time after which a request that waits looks for a connection by itself.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The wait for a connection, in the order that [`crate::balance::Balancer::has_turn`] decides.
impl Run {
    /// Has a shard wait for a connection until its turn comes.
    pub(super) fn wait(&mut self, index: usize, context: &mut Context<'_>) {
        if !self.shards[index].is_queued {
            self.enter_queue(index, context);
        }
        let Context { balancer, now, .. } = context;
        let shard = &mut self.shards[index];
        let opens_at = balancer.opens_at(&shard.service, *now);
        let mut due = opens_at.unwrap_or(self.timing.hard_deadline);
        if self.timing.dispatch_by > *now {
            due = due.min(self.timing.dispatch_by);
        }
        shard.due = due.max(*now + MIN_WAIT);
    }

    fn enter_queue(&mut self, index: usize, context: &mut Context<'_>) {
        let Context { balancer, plan, now } = context;
        let service = &self.shards[index].service;
        let estimate = balancer.estimate(service, &self.rule, plan, *now);
        let latency = estimate.map(|it| it.latency);
        let latency = latency.unwrap_or_else(|| balancer.usual_latency(&self.rule));
        let latest = self.timing.last_send(latency);
        if self.needed() == self.shards.len() {
            // The request can't be served without this shard.
            self.timing.dispatch_by = self.timing.dispatch_by.min(latest);
        }
        balancer.enter_queue(service, self.waiter(index), latest);
        self.shards[index].is_queued = true;
    }

    /// Returns whether a shard waits for a connection and its turn has come.
    pub(super) fn is_called(&self, index: usize, context: &mut Context<'_>) -> bool {
        self.shards[index].is_queued && self.has_turn(index, context)
    }

    pub(super) fn has_turn(&self, index: usize, context: &mut Context<'_>) -> bool {
        let Context { balancer, plan, now } = context;
        balancer.has_turn(&self.shards[index].service, self.waiter(index), plan, *now)
    }

    fn waiter(&self, shard: usize) -> Waiter {
        Waiter { run: self.number, shard }
    }

    pub(super) fn leave_queue(&mut self, index: usize, context: &mut Context<'_>) {
        let waiter = self.waiter(index);
        let shard = &mut self.shards[index];
        if std::mem::take(&mut shard.is_queued) {
            context.balancer.leave_queue(&shard.service, waiter);
            shard.due = context.now;
        }
    }

    /// Records that no shard waits for a connection any more.
    pub(super) fn leave_queues(&mut self, context: &mut Context<'_>) {
        (0..self.shards.len()).for_each(|it| self.leave_queue(it, context));
    }
}
