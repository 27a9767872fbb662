use std::time::Duration;

use mimosabridge::{balance::Sample, member::News, time::Time};

use super::exchange::Inner;
use crate::events;

/// How often nodes share their observations of servers: several times within the seconds that
/// most faults last.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// The most contents of which other nodes are told in one tick. One fault makes many suspect.
const MAX_PUSHED_CONTENTS: usize = 32;

impl Inner {
    /// Sends this node's observations of servers to nearby nodes.
    pub fn report(&self, now: Time) {
        if now < self.next_report.get() {
            return;
        }
        self.next_report.set(now + REPORT_INTERVAL);
        let (samples, unlimited) = {
            let state = &mut *self.shared.state.borrow_mut();
            let mut samples = state.balancer.report(now);
            if !state.reach.is_witness(now) {
                samples.clear();
            }
            (samples, state.balancer.take_unlimited())
        };
        if !unlimited.is_empty() {
            self.push_nearby(News::Unlimited(unlimited));
        }
        if !samples.is_empty() {
            self.on_report(&samples, "own");
            self.push_nearby(News::Seen(samples));
        }
    }

    fn push_nearby(&self, news: News) {
        let actions = self.peer.borrow().push_nearby(news, &mut *self.rng.borrow_mut());
        self.act(actions);
    }

    /// Sends the crashes that other nodes must learn at once to some of them.
    pub fn push_crashes(&self, now: Time) {
        for _ in 0..MAX_PUSHED_CONTENTS {
            let content = self.shared.state.borrow_mut().unpushed_contents.pop_first();
            let Some(content) = content else { return };
            let news = self.shared.state.borrow().quarantine.news(content, now);
            let actions = self.peer.borrow_mut().push_now(news, &mut *self.rng.borrow_mut());
            self.act(actions);
        }
    }

    fn on_report(&self, samples: &[Sample], source: &str) {
        let now = self.shared.now();
        let balancer = &mut self.shared.state.borrow_mut().balancer;
        for id in balancer.on_report(samples, now) {
            let Some(server) = balancer.server(&id) else { continue };
            events::SUSPECT.emit(&[
                ("server", &id),
                ("source", &source),
                ("slowness", &format_args!("{:.1}", server.slowness(now))),
                ("failure_share", &format_args!("{:.2}", server.failures(now))),
            ]);
        }
    }

    /// Handles news from another node.
    pub fn on_news(&self, news: News) {
        match news {
            News::Evidence { fingerprint, evidence } => {
                self.shared.on_peer_evidence(fingerprint, evidence);
            }
            News::Restriction { restriction, left_millis } => {
                let left = Duration::from_millis(left_millis.into());
                let changes = self.shared.update_mirror(|mirror, balancer, now| {
                    mirror.on_restriction(restriction, left, balancer, now)
                });
                self.shared.on_changes(&changes, "peer");
            }
            News::Unlimited(servers) => {
                let now = self.shared.now();
                self.shared.state.borrow_mut().balancer.on_unlimited(&servers, now);
            }
            News::Seen(samples) => self.on_report(&samples, "peer"),
            News::Config { .. } | News::Member(_) | News::State(_) | News::Leaving { .. } => {}
        }
    }
}
