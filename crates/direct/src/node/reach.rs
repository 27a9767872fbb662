use std::{rc::Rc, time::Duration};

use mimosabridge::{name::Name, reach::Status, time::Time};
use rand::seq::IteratorRandom;

use super::Shared;
use crate::{backend::ask_health, events};

/// How often a node that has lost the servers asks one of them for its health.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// How long a server may take to answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl Shared {
    /// Records that a server answered.
    pub fn on_reached(&self) {
        let lost = self.state.borrow_mut().reach.on_answer(self.now());
        let Some(lost) = lost else { return };
        self.state.borrow_mut().balancer.on_regained();
        self.metrics.has_lost_servers.set(0);
        events::SERVERS_REGAINED.emit(&[("lost_millis", &lost.as_millis())]);
        self.refresh_ready();
    }

    /// Records that a server did not answer.
    pub fn on_unreached(self: &Rc<Shared>, server: &Name) {
        let now = self.now();
        if !self.state.borrow_mut().reach.on_failure(server, now) {
            return;
        }
        self.metrics.has_lost_servers.set(1);
        {
            let reach = &self.state.borrow().reach;
            events::SERVERS_LOST.emit(&[
                ("failed", &reach.failed()),
                ("status", &format_args!("{:?}", reach.status(now))),
            ]);
        }
        self.refresh_ready();
        tokio::task::spawn_local(regain(self.clone()));
    }

    /// Records the servers with overdue requests, and updates the readiness.
    pub fn check_reach(self: &Rc<Shared>, now: Time) {
        let stalled: Vec<_> = self.state.borrow().balancer.stalled(now).cloned().collect();
        stalled.iter().for_each(|it| self.on_unreached(it));
        self.refresh_ready();
    }

    /// Returns whether this node has lost the servers.
    pub fn has_lost_servers(&self) -> bool {
        self.state.borrow().reach.answered().is_none()
    }

    /// Returns whether this node has lost the servers while others reach them.
    pub fn is_stranded(&self) -> bool {
        self.state.borrow().reach.status(self.now()) == Status::Stranded
    }
}

/// Asks one server after the other for its health until one answers.
async fn regain(shared: Rc<Shared>) {
    while shared.has_lost_servers() {
        let server = {
            let state = shared.state.borrow();
            state.balancer.directory().entries().choose(&mut rand::rng()).cloned()
        };
        if let (Some(server), Some(plan)) = (server, shared.plan()) {
            let Shared { pool, clock, headers, .. } = &*shared;
            let health = ask_health(pool, *clock, &server, &plan, &headers.server_id);
            if let Ok(Ok(_)) = tokio::time::timeout(PROBE_TIMEOUT, health).await {
                shared.on_reached();
            }
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}
