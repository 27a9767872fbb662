use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{Action, Attempt, Coverage, Ending, Gap, Missing, Plan, Route, Target};
use crate::{
    name::Name,
    outcome::{Failure, Outcome, Refusal, Reply},
    quarantine::CRASH_THRESHOLD,
    retry::Budget,
    time::Time,
};

/// Attempts at one shard, hedges included.
const MAX_ATTEMPTS: usize = 4;

/// How many times the hedge delay the other shards wait for the first reply of a canary.
const CANARY_WAIT: u32 = 3;

/// The part of the shards, as a divisor, that must lack the snapshot for a restart.
const RESTART_DIVISOR: usize = 4;

/// One request at its entry, from the plan to the ending.
#[derive(Clone, Debug)]
pub struct Run {
    plan: Plan,
    legs: Vec<Leg>,
    attempts: BTreeMap<u32, Flight>,
    next_attempt: u32,
    /// Sends in the order of their times, with their legs. Those that are over are dropped when
    /// they come to the front.
    hedges: VecDeque<(Time, usize)>,
    started: Option<Time>,
    released: bool,
    answered: usize,
    crashed: BTreeSet<Name>,
    newer: Option<u64>,
    may_have_run: bool,
    ended: bool,
}

/// The work for one shard.
#[derive(Clone, Debug)]
struct Leg {
    target: Target,
    attempts: usize,
    in_flight: Vec<u32>,
    /// Gates and servers that are of no more use to this leg, or are being tried.
    barred_gates: BTreeSet<Name>,
    barred_servers: BTreeSet<Name>,
    last_sent: Option<Time>,
    reply: Option<Reply>,
    missing: Option<Missing>,
    lacks_snapshot: bool,
}

/// An attempt that has not come to its end.
#[derive(Clone, Debug)]
struct Flight {
    leg: usize,
    route: Route,
    paid: bool,
}

/// What a retry costs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Price {
    Free,
    Token,
}

impl Run {
    /// Creates the run of a plan. Nothing is sent before [`Run::start`].
    pub fn new(plan: Plan) -> Run {
        let legs = plan.targets.iter().cloned().map(Leg::new).collect();
        let crashed = plan.crashed.iter().cloned().collect();
        Run {
            plan,
            legs,
            attempts: BTreeMap::new(),
            next_attempt: 0,
            hedges: VecDeque::new(),
            started: None,
            released: false,
            answered: 0,
            crashed,
            newer: None,
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
        let suspect = usize::from(!self.crashed.is_empty());
        let canaries = self.plan.canaries.max(suspect);
        let first = if canaries == 0 { self.legs.len() } else { canaries.min(self.legs.len()) };
        self.released = first == self.legs.len();
        let mut actions = self.send_first(0..first, now);
        self.end_if_done(now, &mut actions);
        actions
    }

    /// Returns whether the run has come to its end.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns when [`Run::on_time`] must be called next.
    pub fn wake_at(&mut self) -> Time {
        let hedge = self.next_hedge().map(|(sent, _)| sent + self.plan.hedge_after);
        let held_since = self.started.filter(|_| !self.released && self.crashed.is_empty());
        let release = held_since.map(|it| it + self.plan.hedge_after * CANARY_WAIT);
        hedge.into_iter().chain(release).fold(self.plan.deadline, Time::min)
    }

    /// Takes the outcome of an attempt.
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
        let Some(flight) = self.attempts.remove(&id) else { return Vec::new() };
        self.legs[flight.leg].in_flight.retain(|it| *it != id);
        let mut actions = match outcome {
            Outcome::Served(reply) => self.on_served(&flight, reply, now, budget),
            Outcome::Refused(refusal) => self.on_refused(&flight, refusal, now, budget),
            Outcome::Failed(failure) => self.on_failed(&flight, failure, now, budget),
        };
        self.end_if_done(now, &mut actions);
        actions
    }

    /// Hedges what is late and ends the run at its deadline.
    pub fn on_time(&mut self, now: Time, budget: &mut Budget) -> Vec<Action> {
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

    /// Drops the request: the caller has gone.
    pub fn cancel(&mut self) -> Vec<Action> {
        if self.ended {
            return Vec::new();
        }
        self.ended = true;
        self.cancel_all()
    }

    fn on_served(
        &mut self,
        flight: &Flight,
        reply: Reply,
        now: Time,
        budget: &mut Budget,
    ) -> Vec<Action> {
        self.may_have_run = true;
        if reply.snapshot != self.plan.snapshot {
            return self.on_failed(flight, Failure::BadReply, now, budget);
        }
        budget.earn(now);
        let leg = &mut self.legs[flight.leg];
        if leg.reply.is_some() {
            return Vec::new();
        }
        leg.reply = Some(reply);
        leg.missing = None;
        self.answered += 1;
        let mut actions = self.cancel_leg(flight.leg);
        actions.extend(self.release(now));
        actions
    }

    fn on_refused(
        &mut self,
        flight: &Flight,
        refusal: Refusal,
        now: Time,
        budget: &mut Budget,
    ) -> Vec<Action> {
        if flight.paid {
            budget.refund();
        }
        // A refusal for another reason than load took no work from anybody: trying elsewhere adds
        // no load, so it is free.
        let price = if refusal.is_overload() { Price::Token } else { Price::Free };
        if let Refusal::NotHeld(versions) = &refusal {
            self.legs[flight.leg].lacks_snapshot = true;
            self.newer = self.newer.max(versions.iter().copied().max());
        }
        if refusal.blames_gate() {
            self.legs[flight.leg].blame_gate(&flight.route);
        }
        self.note(flight.leg, Missing::NotRun(refusal));
        self.retry(flight.leg, price, now, budget)
    }

    fn on_failed(
        &mut self,
        flight: &Flight,
        failure: Failure,
        now: Time,
        budget: &mut Budget,
    ) -> Vec<Action> {
        self.may_have_run = true;
        match failure {
            Failure::GateLost => self.legs[flight.leg].blame_gate(&flight.route),
            Failure::Silent => self.legs[flight.leg].excuse_server(&flight.route),
            _ => {}
        }
        self.note(flight.leg, Missing::Unknown(failure));
        if failure == Failure::Crashed {
            self.crashed.insert(flight.route.server.clone());
            if self.crashed.len() >= CRASH_THRESHOLD {
                return self.convict();
            }
        }
        if !self.plan.idempotent {
            return Vec::new();
        }
        self.retry(flight.leg, Price::Token, now, budget)
    }

    /// Records why a leg has no reply. A possible run is never overwritten by a refusal.
    fn note(&mut self, leg: usize, missing: Missing) {
        let leg = &mut self.legs[leg];
        if leg.reply.is_some() {
            return;
        }
        let known_run = leg.missing.as_ref().is_some_and(|it| !it.is_not_run());
        if known_run && missing.is_not_run() {
            return;
        }
        leg.missing = Some(missing);
    }

    fn retry(&mut self, leg: usize, price: Price, now: Time, budget: &mut Budget) -> Vec<Action> {
        let is_open = self.legs[leg].reply.is_none() && self.legs[leg].in_flight.is_empty();
        if !is_open || now >= self.plan.deadline || self.legs[leg].next_route().is_none() {
            return Vec::new();
        }
        let paid = price == Price::Token;
        if paid && !budget.spend_retry() {
            return Vec::new();
        }
        self.send(leg, paid, now).into_iter().collect()
    }

    fn hedge(&mut self, now: Time, budget: &mut Budget) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((sent, leg)) = self.next_hedge() {
            if sent + self.plan.hedge_after > now {
                break;
            }
            self.hedges.pop_front();
            if budget.spend_hedge() {
                actions.extend(self.send(leg, true, now));
            } else {
                self.legs[leg].last_sent = Some(now);
                self.hedges.push_back((now, leg));
            }
        }
        actions
    }

    /// Returns the send that is the next to be hedged, and its leg.
    fn next_hedge(&mut self) -> Option<(Time, usize)> {
        while let Some((sent, leg)) = self.hedges.front().copied() {
            if self.legs[leg].last_sent == Some(sent) && self.can_hedge(&self.legs[leg]) {
                return Some((sent, leg));
            }
            self.hedges.pop_front();
        }
        None
    }

    fn can_hedge(&self, leg: &Leg) -> bool {
        self.plan.idempotent
            && self.crashed.is_empty()
            && leg.reply.is_none()
            && leg.next_route().is_some()
    }

    /// Sends the first attempts of the legs that waited for the canaries.
    fn release(&mut self, now: Time) -> Vec<Action> {
        if self.released {
            return Vec::new();
        }
        let served = self.answered > 0;
        let wait = self.plan.hedge_after * CANARY_WAIT;
        let waited = self.started.is_some_and(|it| it + wait <= now);
        let harmless = self.crashed.is_empty() && (waited || self.attempts.is_empty());
        if !served && !harmless {
            return Vec::new();
        }
        self.released = true;
        self.send_first(0..self.legs.len(), now)
    }

    fn send_first(&mut self, legs: std::ops::Range<usize>, now: Time) -> Vec<Action> {
        let unsent: Vec<_> =
            legs.filter(|it| self.legs[*it].attempts == 0 && !self.legs[*it].is_done()).collect();
        unsent.into_iter().filter_map(|it| self.send(it, false, now)).collect()
    }

    fn send(&mut self, leg: usize, paid: bool, now: Time) -> Option<Action> {
        let Some(route) = self.legs[leg].next_route().cloned() else {
            self.note(leg, Missing::NoReplica);
            return None;
        };
        let id = self.next_attempt;
        self.next_attempt += 1;
        self.legs[leg].attempts += 1;
        self.legs[leg].in_flight.push(id);
        self.legs[leg].barred_servers.insert(route.server.clone());
        self.legs[leg].last_sent = Some(now);
        self.hedges.push_back((now, leg));
        self.attempts.insert(id, Flight { leg, route: route.clone(), paid });
        let shard = self.legs[leg].target.shard.clone();
        Some(Action::Send(Attempt { id, shard, route, deadline: self.plan.deadline }))
    }

    fn cancel_leg(&mut self, leg: usize) -> Vec<Action> {
        let ids = std::mem::take(&mut self.legs[leg].in_flight);
        for id in &ids {
            self.attempts.remove(id);
        }
        ids.into_iter().map(Action::Cancel).collect()
    }

    fn cancel_all(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.attempts).into_keys().map(Action::Cancel).collect()
    }

    fn time_out(&mut self) -> Vec<Action> {
        let waiting: Vec<_> = self.attempts.values().map(|it| it.leg).collect();
        for leg in waiting {
            self.note(leg, Missing::Unknown(Failure::TimedOut));
            self.may_have_run = true;
        }
        let mut actions = self.cancel_all();
        actions.push(self.settle());
        actions
    }

    fn convict(&mut self) -> Vec<Action> {
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
        let version = self.newer.filter(|it| *it > self.plan.snapshot)?;
        let lacking = self.legs.iter().filter(|it| it.reply.is_none() && it.lacks_snapshot).count();
        let enough = lacking * RESTART_DIVISOR >= self.legs.len();
        let harmless = self.plan.idempotent || !self.may_have_run;
        (self.plan.may_restart && enough && harmless).then_some(version)
    }

    fn settle(&mut self) -> Action {
        self.ended = true;
        self.hedges.clear();
        let total = self.legs.len();
        let mut replies = Vec::new();
        let mut missing = Vec::new();
        for leg in self.legs.drain(..) {
            match leg.reply {
                Some(reply) => replies.push((leg.target.shard, reply)),
                None => {
                    let reason = leg.missing.unwrap_or(Missing::NotRun(Refusal::Expired));
                    missing.push(Gap { shard: leg.target.shard, reason });
                }
            }
        }
        let coverage = Coverage { total, answered: replies.len(), missing };
        Action::End(Ending::Settled { replies, coverage, may_have_run: self.may_have_run })
    }
}

impl Leg {
    fn new(target: Target) -> Leg {
        Leg {
            target,
            attempts: 0,
            in_flight: Vec::new(),
            barred_gates: BTreeSet::new(),
            barred_servers: BTreeSet::new(),
            last_sent: None,
            reply: None,
            missing: None,
            lacks_snapshot: false,
        }
    }

    fn is_done(&self) -> bool {
        self.reply.is_some() || self.missing.is_some()
    }

    /// Returns the best route that is of use, while attempts are left.
    fn next_route(&self) -> Option<&Route> {
        if self.attempts >= MAX_ATTEMPTS {
            return None;
        }
        let is_of_use = |it: &&Route| {
            !self.barred_servers.contains(&it.server) && !self.barred_gates.contains(&it.gate)
        };
        self.target.routes.iter().find(is_of_use)
    }

    /// Lets the server of an attempt be tried again, because not the server was to blame.
    fn excuse_server(&mut self, route: &Route) {
        self.barred_servers.remove(&route.server);
    }

    /// Lets the server of an attempt be tried again through another gate.
    fn blame_gate(&mut self, route: &Route) {
        self.barred_servers.remove(&route.server);
        self.barred_gates.insert(route.gate.clone());
    }
}
