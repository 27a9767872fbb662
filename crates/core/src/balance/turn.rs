use super::{Balancer, Waiter};
use crate::{name::Name, plan::Plan, time::Time};

/// Decides which request gets a connection that is free: the oldest one, unless its answer would come
/// too late.
///
/// It serves this load pattern: callers come in bursts, so that later ones find a connection free while
/// earlier ones wait for it. A request that takes it out of order costs one that waits its deadline.
impl Balancer {
    /// Returns the number of a request that arrives now.
    pub fn next_run(&mut self) -> u64 {
        self.runs += 1;
        self.runs
    }

    /// Records that a request waits for a connection, which helps it until `latest`.
    pub fn enter_queue(&mut self, service: &Name, waiter: Waiter, latest: Time) {
        self.queues.entry(service.clone()).or_default().insert(waiter, latest);
    }

    /// Records that a request no longer waits for a connection.
    pub fn leave_queue(&mut self, service: &Name, waiter: Waiter) {
        let Some(queue) = self.queues.get_mut(service) else { return };
        queue.remove(waiter);
        if queue.is_empty() {
            self.queues.remove(service);
        }
    }

    /// Returns whether a request that was not sent yet gets one of the free connections to servers of a
    /// service, whether it has waited or not.
    pub fn has_turn(&mut self, service: &Name, waiter: Waiter, plan: &Plan, now: Time) -> bool {
        let rank = self.queues.get(service).map_or(0, |it| it.rank(waiter, now));
        rank < self.free(service, plan, now)
    }

    /// Returns whether a connection to a server of a service is free for which no request waits. Only
    /// such a connection is used for a hedge, whose request is under way already.
    pub fn has_spare(&mut self, service: &Name, plan: &Plan, now: Time) -> bool {
        let Some(queue) = self.queues.get(service) else { return true };
        let waiting = queue.len_in_time(now);
        waiting < self.free(service, plan, now)
    }

    /// Returns the requests that wait and whose turn it is.
    ///
    /// The driver asks after each change and wakes them. As the answer depends on the present state
    /// alone, none is forgotten when one that was woken leaves without the connection.
    pub fn called(&mut self, plan: &Plan, now: Time) -> Vec<u64> {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        let mut called = Vec::new();
        for service in services {
            let free = self.free(&service, plan, now);
            let Some(queue) = self.queues.get(&service) else { continue };
            called.extend(queue.iter(now).take(free).map(|it| it.run));
        }
        called.sort_unstable();
        called.dedup();
        called
    }

    /// Returns when more requests than now may be sent to servers of a service although none ends, if
    /// that is known.
    pub fn opens_at(&self, service: &Name, now: Time) -> Option<Time> {
        let entries = self.remaining(service, now);
        let times = entries.filter_map(|entry| {
            let server = self.servers.get(&entry.id).and_then(|it| it.opens_at(self.nodes, now));
            let room = self.room_grows_at(entry, now);
            server.into_iter().chain(room).min()
        });
        times.min()
    }

    /// Returns how many requests may be sent to servers of a service now.
    fn free(&mut self, service: &Name, plan: &Plan, now: Time) -> usize {
        let max = self.max_connections(service, plan);
        let cold_share = plan.service(service).and_then(|it| self.cold_share(it.cold_rate));
        let entries: Vec<_> = self.candidates(service, now).cloned().collect();
        let mut free = 0;
        for entry in entries {
            let room = self.room(&entry, max, now);
            let server = self.servers.entry(entry.id.clone()).or_default();
            free += server.free(room, cold_share, self.nodes, now);
        }
        free
    }
}
