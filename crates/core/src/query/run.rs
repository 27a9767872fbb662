use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{Action, Attempt, Coverage, Ending, Gap, Missing, Plan, Route, Target};
use crate::{
    name::Name,
    outcome::{Failure, Outcome, Refusal, Reply},
    quarantine::CRASH_THRESHOLD,
    retry::Budget,
    time::Time,
};

/// The maximum number of attempts at one shard, hedges included.
const MAX_ATTEMPTS: usize = 4;

/// The other shards wait this many hedge delays for the first reply of a canary.
const CANARY_WAIT_HEDGE_DELAYS: u32 = 3;

/// The query restarts only if at least one in this many shards lacks the snapshot.
const RESTART_DIVISOR: usize = 4;

/// One request at its entry, from the plan to the ending.
#[derive(Clone, Debug)]
pub struct Run {
    plan: Plan,
    shards: Vec<Shard>,
    attempts: BTreeMap<u32, Pending>,
    next_attempt: u32,
    /// The times of sends, oldest first, with the indices of their shards. Entries that no longer
    /// need a hedge are dropped when they reach the front.
    hedge_queue: VecDeque<(Time, usize)>,
    started: Option<Time>,
    /// Whether the shards that wait for the canaries may be asked.
    released: bool,
    answered: usize,
    crashed: BTreeSet<Name>,
    newer_version: Option<u64>,
    may_have_run: bool,
    ended: bool,
}

/// The progress of a query at one of its shards.
#[derive(Clone, Debug)]
struct Shard {
    target: Target,
    attempts: usize,
    in_flight: Vec<u32>,
    /// Gates and servers that must not be tried for this shard, or are being tried.
    excluded_gates: BTreeSet<Name>,
    excluded_servers: BTreeSet<Name>,
    last_sent: Option<Time>,
    reply: Option<Reply>,
    missing: Option<Missing>,
    lacks_snapshot: bool,
}

/// An attempt that has not ended.
#[derive(Clone, Debug)]
struct Pending {
    /// The index of the shard.
    index: usize,
    route: Route,
    /// Whether the attempt took a token from the retry budget.
    took_token: bool,
}

/// What a retry takes from the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Price {
    Free,
    Token,
}

impl Run {
    /// Creates the run of a plan. Nothing is sent before [`Run::start`].
    pub fn new(plan: Plan) -> Run {
        let shards = plan.targets.iter().cloned().map(Shard::new).collect();
        let crashed = plan.crashed.iter().cloned().collect();
        Run {
            plan,
            shards,
            attempts: BTreeMap::new(),
            next_attempt: 0,
            hedge_queue: VecDeque::new(),
            started: None,
            released: false,
            answered: 0,
            crashed,
            newer_version: None,
            may_have_run: false,
            ended: false,
        }
    }

    /// Sends the first attempts.
    pub fn start(&mut self, now: Time) -> Vec<Action> {
        self.started = Some(now);
        if now >= self.plan.deadline {
            return vec![self.settle()];
        }
        let min_canaries = usize::from(!self.crashed.is_empty());
        let canaries = self.plan.canaries.max(min_canaries);
        let first = if canaries == 0 { self.shards.len() } else { canaries.min(self.shards.len()) };
        self.released = first == self.shards.len();
        let mut actions = self.send_first(0..first, now);
        self.end_if_done(now, &mut actions);
        actions
    }

    /// Returns whether the run has ended.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns when [`Run::on_timer`] must be called next.
    pub fn next_timer(&mut self) -> Time {
        let hedge = self.next_hedge().map(|(sent, _)| sent + self.plan.hedge_after);
        let held_since = self.started.filter(|_| !self.released && self.crashed.is_empty());
        let release = held_since.map(|it| it + self.plan.hedge_after * CANARY_WAIT_HEDGE_DELAYS);
        hedge.into_iter().chain(release).fold(self.plan.deadline, Time::min)
    }

    /// Handles the outcome of an attempt. Ignores it if the attempt is no longer under way.
    pub fn on_outcome(
        &mut self,
        id: u32,
        outcome: Outcome,
        now: Time,
        budget: &mut Budget,
    ) -> Vec<Action> {
        if self.ended {
            return Vec::new();
        }
        let Some(pending) = self.attempts.remove(&id) else { return Vec::new() };
        self.shards[pending.index].in_flight.retain(|it| *it != id);
        let mut actions = match outcome {
            Outcome::Served(reply) => self.on_served(&pending, reply, now, budget),
            Outcome::Refused(refusal) => self.on_refused(&pending, refusal, now, budget),
            Outcome::Failed(failure) => self.on_failed(&pending, failure, now, budget),
        };
        self.end_if_done(now, &mut actions);
        actions
    }

    /// Hedges slow shards, asks the shards that waited for the canaries if their wait is over, and
    /// ends the run at its deadline.
    pub fn on_timer(&mut self, now: Time, budget: &mut Budget) -> Vec<Action> {
        if self.ended {
            return Vec::new();
        }
        if now >= self.plan.deadline {
            return self.time_out();
        }
        let mut actions = self.hedge(now, budget);
        actions.extend(self.release(now));
        self.end_if_done(now, &mut actions);
        actions
    }

    /// Cancels the request, because its caller no longer waits for the answer.
    pub fn cancel(&mut self) -> Vec<Action> {
        if self.ended {
            return Vec::new();
        }
        self.ended = true;
        self.cancel_all()
    }

    fn on_served(
        &mut self,
        pending: &Pending,
        reply: Reply,
        now: Time,
        budget: &mut Budget,
    ) -> Vec<Action> {
        self.may_have_run = true;
        if reply.snapshot != self.plan.snapshot {
            return self.on_failed(pending, Failure::BadReply, now, budget);
        }
        budget.earn(now);
        let shard = &mut self.shards[pending.index];
        if shard.reply.is_some() {
            return Vec::new();
        }
        shard.reply = Some(reply);
        shard.missing = None;
        self.answered += 1;
        let mut actions = self.cancel_shard(pending.index);
        actions.extend(self.release(now));
        actions
    }

    fn on_refused(
        &mut self,
        pending: &Pending,
        refusal: Refusal,
        now: Time,
        budget: &mut Budget,
    ) -> Vec<Action> {
        if pending.took_token {
            budget.refund();
        }
        // An attempt that was refused for another reason than overload caused no work. Its retry
        // adds no load, so it takes no token.
        let price = if refusal.is_overload() { Price::Token } else { Price::Free };
        if let Refusal::NotHeld(versions) = &refusal {
            self.shards[pending.index].lacks_snapshot = true;
            self.newer_version = self.newer_version.max(versions.iter().copied().max());
        }
        if refusal.is_gate_specific() {
            self.shards[pending.index].exclude_gate(&pending.route);
        }
        self.record_missing(pending.index, Missing::NotRun(refusal));
        self.retry(pending.index, price, now, budget)
    }

    fn on_failed(
        &mut self,
        pending: &Pending,
        failure: Failure,
        now: Time,
        budget: &mut Budget,
    ) -> Vec<Action> {
        self.may_have_run = true;
        match failure {
            Failure::GateLost => self.shards[pending.index].exclude_gate(&pending.route),
            Failure::Silent => self.shards[pending.index].allow_server(&pending.route),
            _ => {}
        }
        self.record_missing(pending.index, Missing::Unknown(failure));
        if failure == Failure::Crashed {
            self.crashed.insert(pending.route.server.clone());
            if self.crashed.len() >= CRASH_THRESHOLD {
                return self.quarantine();
            }
        }
        if !self.plan.idempotent {
            return Vec::new();
        }
        self.retry(pending.index, Price::Token, now, budget)
    }

    /// Records why a shard has no reply. A refusal never replaces an earlier failure, since the
    /// request may have run in the failed attempt.
    fn record_missing(&mut self, index: usize, missing: Missing) {
        let shard = &mut self.shards[index];
        if shard.reply.is_some() {
            return;
        }
        let may_have_run = shard.missing.as_ref().is_some_and(|it| !it.is_not_run());
        if may_have_run && missing.is_not_run() {
            return;
        }
        shard.missing = Some(missing);
    }

    fn retry(&mut self, index: usize, price: Price, now: Time, budget: &mut Budget) -> Vec<Action> {
        let needs_attempt =
            self.shards[index].reply.is_none() && self.shards[index].in_flight.is_empty();
        if !needs_attempt || now >= self.plan.deadline || self.shards[index].next_route().is_none()
        {
            return Vec::new();
        }
        let took_token = price == Price::Token;
        if took_token && !budget.spend_retry() {
            return Vec::new();
        }
        self.send(index, took_token, now).into_iter().collect()
    }

    fn hedge(&mut self, now: Time, budget: &mut Budget) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((sent, index)) = self.next_hedge() {
            if sent + self.plan.hedge_after > now {
                break;
            }
            self.hedge_queue.pop_front();
            if budget.spend_hedge() {
                actions.extend(self.send(index, true, now));
            } else {
                self.shards[index].last_sent = Some(now);
                self.hedge_queue.push_back((now, index));
            }
        }
        actions
    }

    /// Returns the time of the send that is hedged next, and the index of its shard.
    fn next_hedge(&mut self) -> Option<(Time, usize)> {
        while let Some((sent, index)) = self.hedge_queue.front().copied() {
            if self.shards[index].last_sent == Some(sent) && self.can_hedge(&self.shards[index]) {
                return Some((sent, index));
            }
            self.hedge_queue.pop_front();
        }
        None
    }

    fn can_hedge(&self, shard: &Shard) -> bool {
        self.plan.idempotent
            && self.crashed.is_empty()
            && shard.reply.is_none()
            && shard.next_route().is_some()
    }

    /// Sends the first attempts at the shards that waited for the canaries.
    fn release(&mut self, now: Time) -> Vec<Action> {
        if self.released {
            return Vec::new();
        }
        let served = self.answered > 0;
        let wait = self.plan.hedge_after * CANARY_WAIT_HEDGE_DELAYS;
        let waited = self.started.is_some_and(|it| it + wait <= now);
        let may_release = self.crashed.is_empty() && (waited || self.attempts.is_empty());
        if !served && !may_release {
            return Vec::new();
        }
        self.released = true;
        self.send_first(0..self.shards.len(), now)
    }

    fn send_first(&mut self, indices: std::ops::Range<usize>, now: Time) -> Vec<Action> {
        let unsent: Vec<_> = indices
            .filter(|it| self.shards[*it].attempts == 0 && !self.shards[*it].is_done())
            .collect();
        unsent.into_iter().filter_map(|it| self.send(it, false, now)).collect()
    }

    fn send(&mut self, index: usize, took_token: bool, now: Time) -> Option<Action> {
        let Some(route) = self.shards[index].next_route().cloned() else {
            self.record_missing(index, Missing::NoReplica);
            return None;
        };
        let id = self.next_attempt;
        self.next_attempt += 1;
        self.shards[index].attempts += 1;
        self.shards[index].in_flight.push(id);
        self.shards[index].excluded_servers.insert(route.server.clone());
        self.shards[index].last_sent = Some(now);
        self.hedge_queue.push_back((now, index));
        self.attempts.insert(id, Pending { index, route: route.clone(), took_token });
        let shard = self.shards[index].target.shard.clone();
        let is_repeat = !self.crashed.is_empty();
        let deadline = self.plan.deadline;
        Some(Action::Send(Attempt { id, shard, route, is_repeat, deadline }))
    }

    fn cancel_shard(&mut self, index: usize) -> Vec<Action> {
        let ids = std::mem::take(&mut self.shards[index].in_flight);
        for id in &ids {
            self.attempts.remove(id);
        }
        ids.into_iter().map(Action::Cancel).collect()
    }

    fn cancel_all(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.attempts).into_keys().map(Action::Cancel).collect()
    }

    fn time_out(&mut self) -> Vec<Action> {
        let waiting: Vec<_> = self.attempts.values().map(|it| it.index).collect();
        for index in waiting {
            self.record_missing(index, Missing::Unknown(Failure::TimedOut));
            self.may_have_run = true;
        }
        let mut actions = self.cancel_all();
        actions.push(self.settle());
        actions
    }

    fn quarantine(&mut self) -> Vec<Action> {
        self.ended = true;
        let mut actions = self.cancel_all();
        let servers = self.crashed.iter().cloned().collect();
        actions.push(Action::End(Ending::Quarantine { servers }));
        actions
    }

    fn end_if_done(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.ended || !self.attempts.is_empty() {
            return;
        }
        actions.extend(self.release(now));
        if !self.attempts.is_empty() {
            return;
        }
        if let Some(version) = self.restart_version() {
            self.ended = true;
            actions.push(Action::End(Ending::Restart { version }));
            return;
        }
        actions.push(self.settle());
    }

    fn restart_version(&self) -> Option<u64> {
        let version = self.newer_version.filter(|it| *it > self.plan.snapshot)?;
        let lacking =
            self.shards.iter().filter(|it| it.reply.is_none() && it.lacks_snapshot).count();
        let enough = lacking * RESTART_DIVISOR >= self.shards.len();
        let may_repeat = self.plan.idempotent || !self.may_have_run;
        (self.plan.may_restart && enough && may_repeat).then_some(version)
    }

    fn settle(&mut self) -> Action {
        self.ended = true;
        self.hedge_queue.clear();
        let total = self.shards.len();
        let mut replies = Vec::new();
        let mut missing = Vec::new();
        for shard in self.shards.drain(..) {
            match shard.reply {
                Some(reply) => replies.push((shard.target.shard, reply)),
                None => {
                    let reason = shard.missing.unwrap_or(Missing::NotRun(Refusal::Expired));
                    missing.push(Gap { shard: shard.target.shard, reason });
                }
            }
        }
        let coverage = Coverage { total, answered: replies.len(), missing };
        Action::End(Ending::Settled { replies, coverage, may_have_run: self.may_have_run })
    }
}

impl Shard {
    fn new(target: Target) -> Shard {
        Shard {
            target,
            attempts: 0,
            in_flight: Vec::new(),
            excluded_gates: BTreeSet::new(),
            excluded_servers: BTreeSet::new(),
            last_sent: None,
            reply: None,
            missing: None,
            lacks_snapshot: false,
        }
    }

    fn is_done(&self) -> bool {
        self.reply.is_some() || self.missing.is_some()
    }

    /// Returns the best route that may still be tried, or nothing if no attempt is left.
    fn next_route(&self) -> Option<&Route> {
        if self.attempts >= MAX_ATTEMPTS {
            return None;
        }
        let is_usable = |it: &&Route| {
            !self.excluded_servers.contains(&it.server) && !self.excluded_gates.contains(&it.gate)
        };
        self.target.routes.iter().find(is_usable)
    }

    /// Allows the server of an attempt to be tried again, because the failure was not its fault.
    fn allow_server(&mut self, route: &Route) {
        self.excluded_servers.remove(&route.server);
    }

    /// Excludes the gate of an attempt. Its server may be tried again through another gate.
    fn exclude_gate(&mut self, route: &Route) {
        self.excluded_servers.remove(&route.server);
        self.excluded_gates.insert(route.gate.clone());
    }
}
