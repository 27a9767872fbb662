use std::{collections::BTreeMap, time::Duration};

use super::{Action, Condition, End, Limiter, Queue, Rank, Report, Settings, Standing, Task};
use crate::{
    config::Service,
    name::Name,
    outcome::{Failure, Hint, Outcome, Refusal, Trust},
    time::Time,
};

/// Everything that a gate knows and decides about one server.
#[derive(Clone, Debug)]
pub struct Searcher {
    name: Name,
    limiter: Limiter,
    queue: Queue,
    flights: BTreeMap<u64, Flight>,
    standing: Standing,
    probe_due: Option<Time>,
}

/// A request that was sent and whose slot is still taken.
#[derive(Clone, Debug)]
struct Flight {
    sent: Time,
    deadline: Time,
    /// The entry has been told the outcome; only the slot is still taken.
    finished: bool,
    /// When the reply must be here, once the server has said that it runs nothing.
    lost_at: Option<Time>,
}

impl Searcher {
    /// Creates the state for a server about which nothing is known.
    pub fn new(name: Name, service: &Service, rank: Rank, settings: &Settings) -> Searcher {
        let capacity = (service.slots * settings.queue_per_slot) as usize;
        Searcher {
            name,
            limiter: Limiter::new(service.slots, rank),
            queue: Queue::new(capacity, settings.overload_wait),
            flights: BTreeMap::new(),
            standing: Standing::Up,
            probe_due: None,
        }
    }

    /// Changes the slots of the server and the rank of the gate.
    pub fn set_share(&mut self, slots: u32, rank: Rank) {
        self.limiter.set_share(slots, rank);
    }

    /// Returns whether the server takes new work.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Returns whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.flights.is_empty()
    }

    /// Returns the number of requests whose slot is taken.
    pub fn running(&self) -> u32 {
        self.flights.len() as u32
    }

    /// Returns what to tell entries about the server.
    pub fn hint(&self, now: Time) -> Hint {
        let trust = match self.standing {
            Standing::Up => self.limiter.trust(),
            Standing::Down { .. } => Trust::Down,
            Standing::Leaving => Trust::Leaving,
        };
        Hint {
            trust,
            limit: self.limiter.limit(now),
            running: self.running(),
            queued: self.queue.len() as u32,
            usual_micros: self.limiter.usual().unwrap_or_default().as_micros() as u32,
        }
    }

    /// Takes a task into the queue, or refuses it.
    pub fn offer(&mut self, task: Task, now: Time) -> Vec<Action> {
        if task.deadline <= now {
            return vec![self.refuse(&task, Refusal::Expired, now)];
        }
        match self.standing {
            Standing::Leaving => return vec![self.refuse(&task, Refusal::ServerLeaving, now)],
            Standing::Down { retry_at } if now < retry_at => {
                return vec![self.refuse(&task, Refusal::Unreachable, now)];
            }
            Standing::Down { .. } | Standing::Up => {}
        }
        let evicted = self.queue.push(task, now);
        evicted.iter().map(|it| self.refuse(it, Refusal::QueueFull, now)).collect()
    }

    /// Returns the sends for which there is room.
    pub fn pump(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.expire(now);
        while self.has_room(now) {
            let Some(task) = self.queue.pop(now) else { break };
            let flight =
                Flight { sent: now, deadline: task.deadline, finished: false, lost_at: None };
            self.flights.insert(task.id, flight);
            actions.push(Action::Send(task.id));
        }
        actions
    }

    /// Drops a task that the caller no longer wants.
    pub fn cancel(&mut self, id: u64, now: Time) -> Vec<Action> {
        if let Some(task) = self.queue.remove(id) {
            return vec![self.refuse(&task, Refusal::Cancelled, now)];
        }
        let hint = self.hint(now);
        let Some(flight) = self.flights.get_mut(&id) else { return Vec::new() };
        if flight.finished {
            return Vec::new();
        }
        flight.finished = true;
        vec![Action::Finish(id, Outcome::Failed(Failure::Cancelled), hint), Action::Cancel(id)]
    }

    /// Takes the end of a task that was sent.
    pub fn settle(&mut self, id: u64, end: End, now: Time, settings: &Settings) -> Vec<Action> {
        let Some(flight) = self.flights.remove(&id) else { return Vec::new() };
        if let Some(report) = &end.report {
            self.observe(report, now, settings);
        }
        let mut actions = self.learn(&flight, &end, now, settings);
        if !flight.finished {
            actions.push(Action::Finish(id, end.outcome, self.hint(now)));
        }
        actions.extend(self.refuse_if_leaving(now));
        actions
    }

    /// Takes a health report that was asked for at `asked`.
    pub fn on_health(
        &mut self,
        report: &Report,
        asked: Time,
        now: Time,
        settings: &Settings,
    ) -> Vec<Action> {
        self.probe_due = None;
        if matches!(self.standing, Standing::Down { .. }) {
            self.standing = Standing::Up;
            self.limiter.doubt();
        }
        if report.running == 0 {
            let lost_at = now + settings.reply_grace;
            for flight in self.flights.values_mut().filter(|it| it.sent < asked) {
                flight.lost_at.get_or_insert(lost_at);
            }
        }
        self.observe(report, now, settings);
        self.refuse_if_leaving(now)
    }

    /// Takes note that a health request found no server.
    pub fn on_unreachable(&mut self, now: Time, settings: &Settings) -> Vec<Action> {
        self.probe_due = None;
        if self.standing == Standing::Leaving {
            return Vec::new();
        }
        self.standing = Standing::Down { retry_at: now + settings.down_backoff };
        self.limiter.doubt();
        self.refuse_all(Refusal::Unreachable, now)
    }

    /// Takes note that the server is leaving, as others have seen it.
    pub fn on_leaving(&mut self, now: Time) -> Vec<Action> {
        self.standing = Standing::Leaving;
        self.refuse_all(Refusal::ServerLeaving, now)
    }

    /// Refuses everything that waits.
    pub fn refuse_all(&mut self, refusal: Refusal, now: Time) -> Vec<Action> {
        let tasks = self.queue.clear();
        tasks.iter().map(|it| self.refuse(it, refusal.clone(), now)).collect()
    }

    /// Forgets the evidence for the server.
    pub fn doubt(&mut self) {
        self.limiter.doubt();
    }

    /// Finds silent requests and expired tasks.
    pub fn tick(&mut self, now: Time, settings: &Settings) -> Vec<Action> {
        self.limiter.on_tick(now, settings);
        let mut actions = self.expire(now);
        actions.extend(self.time_out(now));
        actions.extend(self.close_lost(now));
        actions.extend(self.probe_silent(now, settings));
        actions
    }

    fn has_room(&self, now: Time) -> bool {
        let limit = match self.standing {
            Standing::Up => self.limiter.limit(now),
            Standing::Down { retry_at } if now >= retry_at => 1,
            Standing::Down { .. } | Standing::Leaving => 0,
        };
        self.running() < limit
    }

    fn observe(&mut self, report: &Report, now: Time, settings: &Settings) {
        let own = self.running() + 1;
        self.limiter.on_report(report, own, now, settings);
        if report.condition == Condition::Leaving {
            self.standing = Standing::Leaving;
        } else if self.standing == Standing::Leaving {
            self.standing = Standing::Up;
            self.limiter.doubt();
        }
    }

    /// Refuses what waits for a server that has been seen leaving: nothing will be sent to it.
    fn refuse_if_leaving(&mut self, now: Time) -> Vec<Action> {
        if self.standing != Standing::Leaving {
            return Vec::new();
        }
        self.refuse_all(Refusal::ServerLeaving, now)
    }

    fn learn(&mut self, flight: &Flight, end: &End, now: Time, settings: &Settings) -> Vec<Action> {
        match &end.outcome {
            Outcome::Served(_) => {
                self.revive();
                self.limiter.on_served(now.since(flight.sent), now, settings);
            }
            Outcome::Refused(Refusal::Shed) => self.limiter.on_shed(now),
            Outcome::Refused(Refusal::Unreachable) => return self.on_unreachable(now, settings),
            Outcome::Failed(Failure::Broken | Failure::Crashed | Failure::TimedOut) => {
                self.limiter.doubt();
            }
            Outcome::Refused(_) | Outcome::Failed(_) => {}
        }
        Vec::new()
    }

    fn revive(&mut self) {
        if matches!(self.standing, Standing::Down { .. }) {
            self.standing = Standing::Up;
        }
    }

    fn expire(&mut self, now: Time) -> Vec<Action> {
        let expired = self.queue.expire(now);
        expired.iter().map(|it| self.refuse(it, Refusal::Expired, now)).collect()
    }

    fn time_out(&mut self, now: Time) -> Vec<Action> {
        let hint = self.hint(now);
        let mut actions = Vec::new();
        for (id, flight) in &mut self.flights {
            if flight.finished || now < flight.deadline {
                continue;
            }
            flight.finished = true;
            actions.push(Action::Finish(*id, Outcome::Failed(Failure::TimedOut), hint));
            actions.push(Action::Cancel(*id));
        }
        actions
    }

    /// Closes the connections whose reply is overdue, although the server runs nothing.
    fn close_lost(&mut self, now: Time) -> Vec<Action> {
        let is_lost = |it: &Flight| it.lost_at.is_some_and(|at| at <= now);
        let lost: Vec<_> =
            self.flights.iter().filter(|(_, it)| is_lost(it)).map(|(id, _)| *id).collect();
        if lost.is_empty() {
            return Vec::new();
        }
        let mut actions = vec![Action::Renew(self.name.clone())];
        for id in lost {
            let Some(flight) = self.flights.remove(&id) else { continue };
            actions.push(Action::Close(id));
            if !flight.finished {
                let outcome = Outcome::Failed(Failure::Silent);
                actions.push(Action::Finish(id, outcome, self.hint(now)));
            }
        }
        actions
    }

    fn probe_silent(&mut self, now: Time, settings: &Settings) -> Vec<Action> {
        if self.probe_due.is_some_and(|it| now < it) {
            return Vec::new();
        }
        let wait = self.silence_limit(settings);
        let is_silent = |it: &Flight| now.since(it.sent) >= wait && it.lost_at.is_none();
        if !self.flights.values().any(is_silent) {
            return Vec::new();
        }
        self.probe_due = Some(now + settings.probe_after);
        vec![Action::Probe(self.name.clone())]
    }

    fn silence_limit(&self, settings: &Settings) -> Duration {
        let usual = self.limiter.usual().unwrap_or_default();
        settings.probe_after.max(usual * settings.slow_factor)
    }

    fn refuse(&self, task: &Task, refusal: Refusal, now: Time) -> Action {
        Action::Finish(task.id, Outcome::Refused(refusal), self.hint(now))
    }
}
