use std::{sync::Arc, time::Duration};

use super::{Balancer, Estimate, Purpose, Server};
use crate::{
    directory::Entry,
    name::Name,
    plan::{Plan, Rule},
    time::Time,
};

/// Decides how long a request waits for a connection, or that it can't be served.
///
/// It serves this load pattern: of many nodes, each may open few connections to a server, and some
/// callers reach one node at the same time. A connection is free again within one answer, so that a
/// short wait serves a caller whom a refusal would send away.
impl Balancer {
    /// Estimates how soon a request that arrives now can be answered by a server of a service.
    /// Returns `None` if no server of the service takes requests of this node.
    pub fn estimate(
        &mut self,
        service: &Name,
        rule: &Rule,
        plan: &Plan,
        now: Time,
    ) -> Option<Estimate> {
        let usual = self.usual_latency(rule);
        let max = self.max_connections(service, plan);
        let waiting = self.waiting.get(service).copied().unwrap_or(0);
        let unknown = Server::new();
        let (mut free, mut connections) = (0, 0);
        let (mut at_once, mut later): (Option<Estimate>, Option<Estimate>) = (None, None);
        for entry in self.candidates(service, now) {
            let server = self.servers.get(&entry.id).unwrap_or(&unknown);
            if !server.has_credit(Purpose::First, self.nodes, now) {
                continue;
            }
            let is_down = server.is_down(now);
            let room = self.room(entry, max, now);
            if !is_down {
                free += room.saturating_sub(server.running());
                connections += room;
            }
            let has_room = server.running() < room;
            let wait = if has_room { Duration::ZERO } else { server.free_in(now) };
            let answer = usual.mul_f64(server.slowness(now).max(0.1));
            let answer = now.until(server.down_until()).max(wait) + answer;
            let best = if has_room { &mut at_once } else { &mut later };
            let estimate = Estimate { is_down, answer, wait };
            *best = Some(best.map_or(estimate, |it| it.min(estimate)));
        }
        if waiting < free {
            return at_once;
        }
        // The free connections are taken by those that wait already.
        let rounds = (waiting - free).checked_div(connections).unwrap_or(0) as u32;
        let next = later.filter(|it| !it.is_down).or(at_once.map(|it| it.delayed(usual)));
        next.or(later).map(|it| it.delayed(usual * rounds))
    }

    /// Records that a request begins to wait for a connection to a server of a service.
    pub fn on_waiting(&mut self, service: &Name) {
        *self.waiting.entry(service.clone()).or_default() += 1;
    }

    /// Records that a request no longer waits for a connection to a server of a service.
    pub fn on_waited(&mut self, service: &Name) {
        if let Some(waiting) = self.waiting.get_mut(service) {
            *waiting = waiting.saturating_sub(1);
        }
    }

    /// Returns the earliest time at which a server of a service may be tried by any node, which
    /// lies ahead only if all are down, rest or have used up their limits. Returns `None` if the
    /// service has no server.
    pub fn available_at(&mut self, service: &Name, now: Time) -> Option<Time> {
        let return_delay = self.return_delay();
        let available = |entry: &Arc<Entry>| {
            if let Some(until) = self.rests_until(entry).filter(|it| *it > now) {
                return until + return_delay;
            }
            let Some(server) = self.servers.get(&entry.id) else { return Time::ZERO };
            let quota = server.quota().filter(|it| !it.has_credit(self.nodes, now));
            let allowed = quota.map_or(Time::ZERO, |it| now + it.interval(self.nodes));
            server.down_until().max(allowed)
        };
        self.remaining(service, now).map(available).min()
    }
}
