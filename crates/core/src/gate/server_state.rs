use std::{collections::BTreeMap, time::Duration};

use super::{
    Action, Availability, Completion, Condition, Limiter, Queue, Rank, Report, Settings, Task,
};
use crate::{
    config::Service,
    name::Name,
    outcome::{Failure, Hint, Outcome, Refusal, Trust},
    time::Time,
};

/// The state that a gate keeps about one server.
#[derive(Clone, Debug)]
pub struct ServerState {
    name: Name,
    limiter: Limiter,
    queue: Queue,
    in_flight: BTreeMap<u64, InFlight>,
    availability: Availability,
    probe_due: Option<Time>,
}

/// A request that was sent and still occupies a slot.
#[derive(Clone, Debug)]
struct InFlight {
    sent: Time,
    deadline: Time,
    /// Whether the outcome was reported to the entry; the request then only occupies its slot.
    finished: bool,
    /// When the reply counts as lost. Set once the server reports that it runs nothing.
    lost_at: Option<Time>,
}

impl ServerState {
    /// Creates the state of a server that no request was sent to yet.
    pub fn new(name: Name, service: &Service, rank: Rank, settings: &Settings) -> ServerState {
        let capacity = (service.slots * settings.queue_per_slot) as usize;
        ServerState {
            name,
            limiter: Limiter::new(service.slots, rank),
            queue: Queue::new(capacity, settings.overload_wait),
            in_flight: BTreeMap::new(),
            availability: Availability::Up,
            probe_due: None,
        }
    }

    /// Changes the slots of the server and the rank of the gate.
    pub fn set_share(&mut self, slots: u32, rank: Rank) {
        self.limiter.set_share(slots, rank);
    }

    /// Returns whether the server accepts new requests.
    pub fn availability(&self) -> Availability {
        self.availability
    }

    /// Returns whether no task waits or runs.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_empty()
    }

    /// Returns the number of requests that occupy a slot.
    pub fn running(&self) -> u32 {
        self.in_flight.len() as u32
    }

    /// Returns the state of the server to report to entries.
    pub fn hint(&self, now: Time) -> Hint {
        let trust = match self.availability {
            Availability::Up => self.limiter.trust(),
            Availability::Down { .. } => Trust::Down,
            Availability::Leaving => Trust::Leaving,
        };
        Hint {
            trust,
            limit: self.limiter.limit(now),
            running: self.running(),
            queued: self.queue.len() as u32,
            usual_micros: self.limiter.usual_latency().unwrap_or_default().as_micros() as u32,
        }
    }

    /// Queues or refuses a task.
    pub fn offer(&mut self, task: Task, now: Time) -> Vec<Action> {
        if task.deadline <= now {
            return vec![self.refuse(&task, Refusal::Expired, now)];
        }
        match self.availability {
            Availability::Leaving => return vec![self.refuse(&task, Refusal::ServerLeaving, now)],
            Availability::Down { retry_at } if now < retry_at => {
                return vec![self.refuse(&task, Refusal::Unreachable, now)];
            }
            Availability::Down { .. } | Availability::Up => {}
        }
        let evicted = self.queue.push(task, now);
        evicted.iter().map(|it| self.refuse(it, Refusal::QueueFull, now)).collect()
    }

    /// Sends waiting tasks up to the concurrency limit.
    pub fn dispatch(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.expire(now);
        while self.has_room(now) {
            let Some(task) = self.queue.pop(now) else { break };
            let request =
                InFlight { sent: now, deadline: task.deadline, finished: false, lost_at: None };
            self.in_flight.insert(task.id, request);
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
        let Some(request) = self.in_flight.get_mut(&id) else { return Vec::new() };
        if request.finished {
            return Vec::new();
        }
        request.finished = true;
        vec![Action::Finish(id, Outcome::Failed(Failure::Cancelled), hint), Action::Cancel(id)]
    }

    /// Records the result of a task that was sent.
    pub fn complete(
        &mut self,
        id: u64,
        completion: Completion,
        now: Time,
        settings: &Settings,
    ) -> Vec<Action> {
        let Some(request) = self.in_flight.remove(&id) else { return Vec::new() };
        if let Some(report) = &completion.report {
            self.apply_report(report, now, settings);
        }
        let mut actions = self.apply_outcome(&request, &completion, now, settings);
        if !request.finished {
            actions.push(Action::Finish(id, completion.outcome, self.hint(now)));
        }
        actions.extend(self.refuse_if_leaving(now));
        actions
    }

    /// Records a health report that was requested at `asked`.
    pub fn on_health(
        &mut self,
        report: &Report,
        asked: Time,
        now: Time,
        settings: &Settings,
    ) -> Vec<Action> {
        self.probe_due = None;
        if matches!(self.availability, Availability::Down { .. }) {
            self.availability = Availability::Up;
            self.limiter.restart_ramp();
        }
        if report.running == 0 {
            let lost_at = now + settings.reply_grace;
            for request in self.in_flight.values_mut().filter(|it| it.sent < asked) {
                request.lost_at.get_or_insert(lost_at);
            }
        }
        self.apply_report(report, now, settings);
        self.refuse_if_leaving(now)
    }

    /// Records that the server could not be reached.
    pub fn on_unreachable(&mut self, now: Time, settings: &Settings) -> Vec<Action> {
        self.probe_due = None;
        if self.availability == Availability::Leaving {
            return Vec::new();
        }
        self.availability = Availability::Down { retry_at: now + settings.down_backoff };
        self.limiter.restart_ramp();
        self.refuse_all(Refusal::Unreachable, now)
    }

    /// Records that the server is leaving, as seen by another node.
    pub fn on_leaving(&mut self, now: Time) -> Vec<Action> {
        self.availability = Availability::Leaving;
        self.refuse_all(Refusal::ServerLeaving, now)
    }

    /// Refuses all waiting tasks.
    pub fn refuse_all(&mut self, refusal: Refusal, now: Time) -> Vec<Action> {
        let tasks = self.queue.clear();
        tasks.iter().map(|it| self.refuse(it, refusal.clone(), now)).collect()
    }

    /// Sets the concurrency limit back to one, because the server may be cold.
    pub fn restart_ramp(&mut self) {
        self.limiter.restart_ramp();
    }

    /// Expires tasks and detects connections that stopped responding.
    pub fn tick(&mut self, now: Time, settings: &Settings) -> Vec<Action> {
        self.limiter.on_tick(now, settings);
        let mut actions = self.expire(now);
        actions.extend(self.time_out(now));
        actions.extend(self.close_lost(now));
        actions.extend(self.probe_silent(now, settings));
        actions
    }

    fn has_room(&self, now: Time) -> bool {
        let limit = match self.availability {
            Availability::Up => self.limiter.limit(now),
            Availability::Down { retry_at } if now >= retry_at => 1,
            Availability::Down { .. } | Availability::Leaving => 0,
        };
        self.running() < limit
    }

    fn apply_report(&mut self, report: &Report, now: Time, settings: &Settings) {
        let own = self.running() + 1;
        self.limiter.on_report(report, own, now, settings);
        if report.condition == Condition::Leaving {
            self.availability = Availability::Leaving;
        } else if self.availability == Availability::Leaving {
            self.availability = Availability::Up;
            self.limiter.restart_ramp();
        }
    }

    /// Refuses all waiting tasks if the server is leaving: nothing more will be sent to it.
    fn refuse_if_leaving(&mut self, now: Time) -> Vec<Action> {
        if self.availability != Availability::Leaving {
            return Vec::new();
        }
        self.refuse_all(Refusal::ServerLeaving, now)
    }

    fn apply_outcome(
        &mut self,
        request: &InFlight,
        completion: &Completion,
        now: Time,
        settings: &Settings,
    ) -> Vec<Action> {
        match &completion.outcome {
            Outcome::Served(_) => {
                self.mark_up();
                self.limiter.on_served(now.since(request.sent), now, settings);
            }
            Outcome::Refused(Refusal::Shed) => self.limiter.on_shed(now),
            Outcome::Refused(Refusal::Unreachable) => return self.on_unreachable(now, settings),
            Outcome::Failed(Failure::Broken | Failure::Crashed | Failure::TimedOut) => {
                self.limiter.restart_ramp();
            }
            Outcome::Refused(_) | Outcome::Failed(_) => {}
        }
        Vec::new()
    }

    fn mark_up(&mut self) {
        if matches!(self.availability, Availability::Down { .. }) {
            self.availability = Availability::Up;
        }
    }

    fn expire(&mut self, now: Time) -> Vec<Action> {
        let expired = self.queue.expire(now);
        expired.iter().map(|it| self.refuse(it, Refusal::Expired, now)).collect()
    }

    fn time_out(&mut self, now: Time) -> Vec<Action> {
        let hint = self.hint(now);
        let mut actions = Vec::new();
        for (id, request) in &mut self.in_flight {
            if request.finished || now < request.deadline {
                continue;
            }
            request.finished = true;
            actions.push(Action::Finish(*id, Outcome::Failed(Failure::TimedOut), hint));
            actions.push(Action::Cancel(*id));
        }
        actions
    }

    /// Closes the connections of lost replies: they are overdue although the server runs nothing.
    fn close_lost(&mut self, now: Time) -> Vec<Action> {
        let is_lost = |it: &InFlight| it.lost_at.is_some_and(|at| at <= now);
        let lost: Vec<_> =
            self.in_flight.iter().filter(|(_, it)| is_lost(it)).map(|(id, _)| *id).collect();
        if lost.is_empty() {
            return Vec::new();
        }
        let mut actions = vec![Action::CloseIdle(self.name.clone())];
        for id in lost {
            let Some(request) = self.in_flight.remove(&id) else { continue };
            actions.push(Action::Close(id));
            if !request.finished {
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
        let is_silent = |it: &InFlight| now.since(it.sent) >= wait && it.lost_at.is_none();
        if !self.in_flight.values().any(is_silent) {
            return Vec::new();
        }
        self.probe_due = Some(now + settings.probe_after);
        vec![Action::Probe(self.name.clone())]
    }

    fn silence_limit(&self, settings: &Settings) -> Duration {
        let usual = self.limiter.usual_latency().unwrap_or_default();
        settings.probe_after.max(usual * settings.slow_factor)
    }

    fn refuse(&self, task: &Task, refusal: Refusal, now: Time) -> Action {
        Action::Finish(task.id, Outcome::Refused(refusal), self.hint(now))
    }
}
