use std::{rc::Rc, sync::Arc, time::Duration};

use futures_util::future::join_all;
use mimosabridge::{directory::Entry, name::Name, reach::Status, time::Time};
use rand::seq::IteratorRandom;

use super::Shared;
use crate::{backend::ask_health, events};

/// How long a server may take to answer a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of servers that are checked to learn whether this node reaches any.
const CHECKED_SERVERS: usize = 3;

/// How soon a node that has lost the servers checks the next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How soon it checks the next one if the last has answered.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(50);

impl Shared {
    /// Records that a server answered.
    pub fn on_reached(&self) {
        self.state.borrow_mut().reach.on_answer(self.now());
    }

    /// Records that a connection to a server broke or did not open.
    pub fn on_unreached(self: &Rc<Shared>, server: &Name) {
        if self.state.borrow_mut().reach.on_failure(server, self.now()) {
            tokio::task::spawn_local(check(self.clone()));
        }
    }

    /// Records that a server has not answered in time.
    pub fn on_silence(self: &Rc<Shared>, server: &Name) {
        if self.state.borrow_mut().reach.on_silence(server, self.now()) {
            tokio::task::spawn_local(check(self.clone()));
        }
    }

    /// Records the servers with overdue requests, and updates the readiness.
    pub fn check_reach(self: &Rc<Shared>, now: Time) {
        let stalled: Vec<_> = self.state.borrow().balancer.stalled(now).cloned().collect();
        stalled.iter().for_each(|it| self.on_silence(it));
        self.refresh_ready();
    }

    /// Checks a server if another node may need this one to serve its callers, and this one has had no answer lately.
    pub fn check_for_others(self: &Rc<Shared>, now: Time) {
        if !self.state.borrow_mut().reach.begin_check(now) {
            return;
        }
        let shared = self.clone();
        tokio::task::spawn_local(async move {
            let Some(server) = shared.servers_to_check(1).pop() else { return };
            let is_answered = shared.is_answered_by(&server).await;
            match is_answered {
                true => shared.on_reached(),
                false => shared.on_unreached(&server.id),
            }
            events::QUIET_CHECK.emit(&[("server", &server.id), ("answered", &is_answered)]);
        });
    }

    /// Returns whether this node has lost the servers.
    pub fn has_lost_servers(&self) -> bool {
        self.state.borrow().reach.is_lost()
    }

    /// Returns whether this node has lost the servers while others reach them.
    pub fn is_stranded(&self) -> bool {
        self.state.borrow().reach.status(self.now()) == Status::Stranded
    }

    /// Returns whether a server answers a health check over a new connection.
    async fn is_answered_by(&self, server: &Arc<Entry>) -> bool {
        let Some(plan) = self.plan() else { return false };
        let health = ask_health(&self.pool, self.clock, server, &plan, &self.headers);
        let Ok(Ok(health)) = tokio::time::timeout(CHECK_TIMEOUT, health).await else {
            return false;
        };
        if health.id.as_ref() == Some(&server.id) {
            self.on_notice(server, health.notice, "health check");
        }
        true
    }

    /// Returns servers at random that do not rest, first those that have not failed lately.
    fn servers_to_check(&self, count: usize) -> Vec<Arc<Entry>> {
        let state = self.state.borrow();
        let (balancer, now) = (&state.balancer, self.now());
        let awake = |it: &&Arc<Entry>| !balancer.is_resting(it, now);
        let servers = || balancer.directory().entries().filter(awake).cloned();
        let sound = servers().filter(|it| !state.reach.has_failed(&it.id));
        let mut chosen = sound.sample(&mut rand::rng(), count);
        let failed = servers().filter(|it| state.reach.has_failed(&it.id));
        chosen.extend(failed.sample(&mut rand::rng(), count - chosen.len()));
        chosen
    }
}

/// Checks some servers at once. If none answers, this node has lost the servers; then checks one after
/// the other until they answer again.
async fn check(shared: Rc<Shared>) {
    let servers = shared.servers_to_check(CHECKED_SERVERS);
    let answers = join_all(servers.iter().map(|it| shared.is_answered_by(it))).await;
    // Servers that rest have answered before.
    let answers = answers.into_iter().filter(|it| *it).count() + usize::from(servers.is_empty());
    let now = shared.now();
    if !shared.state.borrow_mut().reach.on_checks(answers, now) {
        return;
    }
    shared.metrics.has_lost_servers.set(1);
    {
        let reach = &shared.state.borrow().reach;
        events::SERVERS_LOST.emit(&[
            ("failed", &reach.failed()),
            ("status", &format_args!("{:?}", reach.status(now))),
        ]);
    }
    shared.refresh_ready();
    while shared.has_lost_servers() {
        let server = shared.servers_to_check(1).pop();
        let is_answered = match server {
            Some(server) => shared.is_answered_by(&server).await,
            None => false,
        };
        let lost = shared.state.borrow_mut().reach.on_check(is_answered, shared.now());
        if let Some(lost) = lost {
            shared.state.borrow_mut().balancer.on_regained();
            shared.metrics.has_lost_servers.set(0);
            events::SERVERS_REGAINED.emit(&[("lost_millis", &lost.as_millis())]);
            shared.refresh_ready();
        }
        let pause = if is_answered { RECOVERY_INTERVAL } else { RETRY_INTERVAL };
        tokio::time::sleep(pause).await;
    }
}
