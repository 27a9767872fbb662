use std::{sync::Arc, time::Duration};

use super::{
    Action, Attempt, End, Evidence, Verdict, settle,
    shard::{Shard, State},
    timing::Timing,
};
use crate::{
    balance::{Balancer, Estimate, Observation, Purpose},
    name::Name,
    plan::{Gather, Plan, Repeat, Rule, Target},
    time::Time,
};

/// How often a shard without a server that can be tried is looked at again.
const PLACE_AGAIN: Duration = Duration::from_millis(25);

/// Sends beyond the servers of a rule, to servers that did not run the request.
const EXTRA_SENDS: u32 = 2;

/// The part of the objective after which a refused caller may return, as a divisor.
const RETURN_DIVISOR: u32 = 8;

/// What a run needs beside its own state.
pub struct Context<'a> {
    /// The servers.
    pub balancer: &'a mut Balancer,
    /// The configuration of the request.
    pub plan: &'a Plan,
    /// The time.
    pub now: Time,
}

/// One request under way.
#[derive(Clone, Debug)]
pub struct Run {
    rule: Arc<Rule>,
    shards: Vec<Shard>,
    attempts: Vec<Option<Attempt>>,
    ends: Vec<Option<End>>,
    timing: Timing,
    is_finished: bool,
}

impl Run {
    /// Creates the run of a request that came now and whose caller waits for `patience`.
    pub fn new(rule: Arc<Rule>, patience: Duration, context: &mut Context<'_>) -> Run {
        let services = match &rule.target {
            Target::One(service) => vec![service.clone()],
            Target::Split(shares) => {
                context.balancer.pick_service(&rule.name, shares).into_iter().collect()
            }
            Target::All(gather) => gather.shards.clone(),
        };
        for service in &services {
            context.balancer.on_request(service, context.now);
        }
        let timing = Timing::new(&rule, patience, context.now);
        let shards = services.into_iter().map(Shard::new).collect();
        Run { rule, shards, attempts: Vec::new(), ends: Vec::new(), timing, is_finished: false }
    }

    /// Returns the rule of the request.
    pub fn rule(&self) -> &Arc<Rule> {
        &self.rule
    }

    /// Returns the services whose shards are not in.
    pub fn missing(&self) -> impl Iterator<Item = &Name> {
        self.shards.iter().filter(|it| !it.is_served()).map(|it| &it.service)
    }

    /// Returns the attempts that were made.
    pub fn sends(&self) -> usize {
        self.attempts.len()
    }

    /// Returns how an attempt ended, if it did.
    pub fn end(&self, number: usize) -> Option<End> {
        self.ends.get(number).copied().flatten()
    }

    /// Starts the run: sends the request, or refuses it at once if it can't be served.
    ///
    /// Shards that can't answer before the objective are left out if the answer does without
    /// them: their servers have work that can't be left out.
    pub fn start(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let Context { plan, now, .. } = *context;
        let until = now.until(self.timing.soft);
        let estimate = |it: &Shard| context.balancer.estimate(&it.service, &self.rule, plan, now);
        let estimates: Vec<_> = self.shards.iter().map(estimate).collect();
        let can_try = |it: &&Option<Estimate>| it.is_some_and(|it| !it.is_down);
        if estimates.iter().filter(can_try).count() < self.needed() {
            let verdict = self.unserved(context, false);
            return vec![self.finish(verdict)];
        }
        let in_time = |it: &Option<Estimate>| it.is_some_and(|it| it.answer <= until);
        if estimates.iter().filter(|it| in_time(it)).count() >= self.needed() {
            for (shard, estimate) in self.shards.iter_mut().zip(&estimates) {
                if !in_time(estimate) {
                    shard.state = State::Lost;
                }
            }
        }
        self.step(context)
    }

    /// Takes the end of an attempt.
    pub fn on_end(&mut self, number: usize, end: End, context: &mut Context<'_>) -> Vec<Action> {
        let Some(attempt) = self.attempts.get_mut(number).and_then(Option::take) else {
            return Vec::new();
        };
        self.ends[number] = Some(end);
        self.report(&attempt, end, context);
        let shard = &mut self.shards[attempt.shard];
        shard.under_way -= 1;
        if end == End::Unsent {
            shard.tried.retain(|it| *it != attempt.server.id);
            shard.sends -= 1;
        } else if end != End::Shed {
            shard.spent.push(attempt.server.id.clone());
        }
        if matches!(shard.state, State::Served(_)) || self.is_finished {
            return Vec::new();
        }
        if end == End::Served {
            shard.state = State::Served(number);
        } else if shard.under_way == 0 {
            let may_repeat = end.is_not_run() || self.rule.repeat == Repeat::Idempotent;
            shard.state = if may_repeat { State::Waiting } else { State::Lost };
        }
        self.step(context)
    }

    /// Does what is due.
    pub fn on_time(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        if self.is_finished {
            return Vec::new();
        }
        self.step(context)
    }

    /// Returns when [`Run::on_time`] is due.
    pub fn next_time(&self, now: Time) -> Time {
        let mut next = if now < self.timing.soft { self.timing.soft } else { self.timing.hard };
        for shard in &self.shards {
            match shard.state {
                State::Waiting => next = next.min(now + PLACE_AGAIN),
                State::Sent => next = shard.hedge_at.map_or(next, |it| next.min(it)),
                State::Served(_) | State::Lost => {}
            }
        }
        next.max(now)
    }

    /// Takes note that attempts under way were given up, after the final answer.
    pub fn abandon(&mut self, is_silent: bool, context: &mut Context<'_>) {
        for number in 0..self.attempts.len() {
            let Some(attempt) = self.attempts[number].take() else { continue };
            let seen = if is_silent { Observation::Silent } else { Observation::Abandoned };
            self.see(&attempt, seen, context);
        }
    }

    /// Sends what is due, and finishes the run if the answer is.
    fn step(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = self.advance(context);
        actions.extend(self.conclude(context));
        actions
    }

    /// Sends what is due: first attempts, retries and hedges.
    fn advance(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if context.now >= self.timing.hard {
            return actions;
        }
        for index in 0..self.shards.len() {
            let shard = &self.shards[index];
            match shard.state {
                State::Waiting => actions.extend(self.place(index, context)),
                State::Sent if shard.hedge_at.is_some_and(|it| it <= context.now) => {
                    self.shards[index].hedge_at = None;
                    actions.extend(self.send(index, true, context));
                }
                State::Sent | State::Served(_) | State::Lost => {}
            }
        }
        actions
    }

    /// Makes a first attempt or replaces one that was lost.
    fn place(&mut self, index: usize, context: &mut Context<'_>) -> Option<Action> {
        let shard = &self.shards[index];
        if shard.tried.len() as u32 >= self.rule.attempts && shard.spent.len() == shard.tried.len()
            || shard.sends >= self.rule.attempts + EXTRA_SENDS
        {
            self.shards[index].state = State::Lost;
            return None;
        }
        let action = self.send(index, false, context);
        if action.is_none() && self.shards[index].sends > 0 {
            // A retry without room in the budget or without a server would wait in vain.
            self.shards[index].state = State::Lost;
        }
        action
    }

    fn send(&mut self, index: usize, is_hedge: bool, context: &mut Context<'_>) -> Option<Action> {
        let now = context.now;
        let shard = &self.shards[index];
        let is_extra = shard.sends > 0;
        let may_be_new = (shard.tried.len() as u32) < self.rule.attempts;
        if is_hedge && (!may_be_new || self.rule.repeat == Repeat::Once) {
            return None;
        }
        let purpose = if is_extra { Purpose::Extra } else { Purpose::First };
        let (service, tried, spent) = (&shard.service, &shard.tried, &shard.spent);
        let balancer = &mut *context.balancer;
        let mut server = None;
        if may_be_new {
            server = balancer.pick(service, &self.rule, context.plan, tried, purpose, now);
        }
        if server.is_none() && !is_hedge {
            server = balancer.pick(service, &self.rule, context.plan, spent, purpose, now);
            // A server that was not tried yet would be one too many.
            server = server.filter(|it| may_be_new || tried.contains(&it.id));
        }
        let server = server?;
        if is_extra && !balancer.spend(service, is_hedge, now) {
            return None;
        }
        balancer.on_sent(&server.id, &self.rule, now);
        let hedge = balancer.hedge_delay(&self.rule);
        let number = self.attempts.len();
        let budget = now.until(self.timing.hard);
        let attempt =
            Attempt { number, shard: index, server: server.clone(), sent: now, budget, is_hedge };
        self.attempts.push(Some(attempt.clone()));
        self.ends.push(None);
        let shard = &mut self.shards[index];
        if !shard.tried.contains(&server.id) {
            shard.tried.push(server.id.clone());
        }
        shard.sends += 1;
        shard.under_way += 1;
        shard.state = State::Sent;
        shard.hedge_at = (self.rule.repeat == Repeat::Idempotent).then_some(now + hedge);
        Some(Action::Send(attempt))
    }

    /// Finishes the run if the answer is due.
    fn conclude(&mut self, context: &mut Context<'_>) -> Option<Action> {
        let now = context.now;
        let served = self.shards.iter().filter(|it| it.is_served()).count();
        let is_open = self.shards.iter().any(|it| matches!(it.state, State::Sent | State::Waiting));
        let is_whole = served == self.shards.len() && served > 0;
        let is_due = now >= self.timing.soft || !is_open;
        if is_whole || served >= self.needed() && is_due {
            let verdict = self.success(self.shards.len() - served);
            return Some(self.finish(verdict));
        }
        let lost = self.shards.iter().filter(|it| it.state == State::Lost).count();
        let is_hopeless = self.shards.len() - lost < self.needed();
        let is_stuck = !self.shards.iter().any(|it| it.under_way > 0);
        let is_idle = served == 0 && is_stuck;
        let waits_in_vain =
            is_idle && now >= self.timing.place_by || now >= self.timing.soft && is_stuck;
        if now < self.timing.hard && !is_hopeless && is_open && !waits_in_vain {
            return None;
        }
        let verdict = self.unserved(context, now >= self.timing.hard);
        Some(self.finish(verdict))
    }

    fn success(&self, missing: usize) -> Verdict {
        let attempts: Vec<_> = self.shards.iter().filter_map(Shard::served).collect();
        match self.rule.target {
            Target::All(_) => Verdict::Merge { attempts, missing },
            Target::One(_) | Target::Split(_) => Verdict::Pass(attempts[0]),
        }
    }

    fn unserved(&self, context: &Context<'_>, is_late: bool) -> Verdict {
        let mut evidence = Evidence {
            is_under_way: self.attempts.iter().any(Option::is_some),
            ..Evidence::default()
        };
        for (number, end) in self.ends.iter().enumerate() {
            let Some(end) = end else { continue };
            evidence.add(*end);
            if *end == End::Failed && !matches!(self.rule.target, Target::All(_)) {
                evidence.failure = Some(number);
            }
        }
        settle(evidence, is_late, self.retry_after(context))
    }

    /// Returns when a refused caller may come back: when servers may be tried again.
    fn retry_after(&self, context: &Context<'_>) -> Duration {
        let least = self.rule.objective / RETURN_DIVISOR;
        let from = |it: &Shard| context.balancer.available_at(&it.service);
        let latest = self.shards.iter().filter_map(from).max().unwrap_or_default();
        context.now.until(latest).max(least)
    }

    fn needed(&self) -> usize {
        match &self.rule.target {
            Target::All(gather) => Gather::needed(gather),
            Target::One(_) | Target::Split(_) => 1,
        }
    }

    fn finish(&mut self, verdict: Verdict) -> Action {
        self.is_finished = true;
        Action::Finish(verdict)
    }

    fn report(&self, attempt: &Attempt, end: End, context: &mut Context<'_>) {
        let seen = match end {
            End::Served => Observation::Served,
            End::Shed => Observation::Shed,
            End::Failed | End::Broken | End::Invalid => Observation::Failed,
            End::Misdirected | End::Unsent => Observation::Unreachable,
            End::Silent => Observation::Silent,
        };
        self.see(attempt, seen, context);
    }

    fn see(&self, attempt: &Attempt, seen: Observation, context: &mut Context<'_>) {
        let service = context.plan.service(&attempt.server.service);
        let warm_up = service.map_or(Duration::ZERO, |it| it.warm_up);
        let id = &attempt.server.id;
        context.balancer.on_end(id, &self.rule, attempt.sent, seen, warm_up, context.now);
    }
}
