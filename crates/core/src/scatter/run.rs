use std::{sync::Arc, time::Duration};

use super::{
    Action, Attempt, End, Evidence, Verdict,
    shard::{Shard, State},
    timing::Timing,
    unserved_verdict,
};
use crate::{
    balance::{Balancer, Estimate, Observation, Purpose},
    name::Name,
    plan::{Gather, Plan, Repeat, Rule, Target},
    time::Time,
};

/// How often the run looks again for a server for a shard that had none available.
const DISPATCH_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// How many attempts at a shard are allowed beyond the limit of the rule. They go to servers that
/// did not run the request.
const MAX_EXTRA_SENDS: u32 = 2;

/// With fewer hedges left for a service, each is sent as late as it helps: most answers that are late
/// still come in time, and a hedge for them would be missing for a server that pauses.
const FEW_HEDGES: f64 = 4.0;

/// A refused caller is asked to wait at least the objective divided by this.
const RETRY_AFTER_DIVISOR: u32 = 8;

/// What a run needs besides its own state.
pub struct Context<'a> {
    /// Selects servers and records how they perform.
    pub balancer: &'a mut Balancer,
    /// The configuration in force for the request.
    pub plan: &'a Plan,
    /// The current time.
    pub now: Time,
}

/// The state of one request under way.
#[derive(Clone, Debug)]
pub struct Run {
    rule: Arc<Rule>,
    shards: Vec<Shard>,
    attempts: Vec<Option<Attempt>>,
    ends: Vec<Option<End>>,
    timing: Timing,
    /// Whether one shard is asked before the others.
    has_canary: bool,
    /// Whether a server has run the request and answered.
    is_answered: bool,
    /// How often the request was sent to a further server of a shard before any server answered.
    unproven_sends: u32,
    /// The first attempt that was lost, and how many were.
    first_lost: Option<Attempt>,
    lost: u32,
    is_finished: bool,
}

impl Run {
    /// Creates the run of a request that arrived now and whose caller waits for `caller_timeout`.
    pub fn new(rule: Arc<Rule>, caller_timeout: Duration, context: &mut Context<'_>) -> Run {
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
        let timing = Timing::new(&rule, caller_timeout, context.now);
        let shards = services.into_iter().map(|it| Shard::new(it, context.now)).collect();
        Run {
            rule,
            shards,
            attempts: Vec::new(),
            ends: Vec::new(),
            timing,
            has_canary: false,
            is_answered: false,
            unproven_sends: 0,
            first_lost: None,
            lost: 0,
            is_finished: false,
        }
    }

    /// Makes one attempt at one shard before the others are asked. If it is lost, the run ends: the
    /// content of the request may crash servers.
    pub fn with_canary(self) -> Run {
        Run { has_canary: true, ..self }
    }

    /// Returns the rule that the request matched.
    pub fn rule(&self) -> &Arc<Rule> {
        &self.rule
    }

    /// Returns the services of the shards that have not answered.
    pub fn missing(&self) -> impl Iterator<Item = &Name> {
        self.shards.iter().filter(|it| !it.is_served()).map(|it| &it.service)
    }

    /// Returns the first lost attempt if the content must be taken for one that ends servers until
    /// more is known: no server has answered it, and it was lost twice, or in place of others.
    pub fn suspicious_loss(&self) -> Option<&Attempt> {
        let is_suspicious = !self.is_answered && (self.lost >= 2 || self.has_canary);
        self.first_lost.as_ref().filter(|_| is_suspicious)
    }

    /// Returns the number of attempts made.
    pub fn sends(&self) -> usize {
        self.attempts.len()
    }

    /// Returns how an attempt ended, or nothing if it has not.
    pub fn end(&self, number: usize) -> Option<End> {
        self.ends.get(number).copied().flatten()
    }

    /// Returns the attempts that have not ended.
    pub fn under_way(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().flatten()
    }

    /// Starts the run: sends the request, or refuses it at once if it cannot be served.
    ///
    /// Shards that cannot answer within the objective are left out if enough others can: their
    /// servers are needed by requests that cannot leave them out. A shard whose connections are all in
    /// use is asked after those that wait already.
    pub fn start(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let Context { plan, now, .. } = *context;
        let until = now.until(self.timing.soft_deadline);
        let estimate = |it: &Shard| context.balancer.estimate(&it.service, &self.rule, plan, now);
        let estimates: Vec<_> = self.shards.iter().map(estimate).collect();
        let longest_wait = now.until(self.timing.dispatch_by);
        let can_try =
            |it: &&Option<Estimate>| it.is_some_and(|it| !it.is_down && it.wait <= longest_wait);
        if estimates.iter().filter(can_try).count() < self.needed() {
            let wait = estimates.iter().flatten().map(|it| it.wait).max().unwrap_or_default();
            let retry_after = self.retry_after(context).max(wait);
            let verdict = self.unserved(retry_after, false);
            return vec![self.finish(verdict, context)];
        }
        let in_time = |it: &Option<Estimate>| it.is_some_and(|it| it.answer <= until);
        if estimates.iter().filter(|it| in_time(it)).count() >= self.needed() {
            for (shard, estimate) in self.shards.iter_mut().zip(&estimates) {
                if !in_time(estimate) {
                    shard.state = State::Lost;
                }
            }
        }
        for (shard, estimate) in self.shards.iter_mut().zip(&estimates) {
            let waits = estimate.is_some_and(|it| !it.wait.is_zero());
            if waits && shard.state == State::Waiting {
                shard.is_queued = true;
                shard.due = now + DISPATCH_RETRY_INTERVAL;
                context.balancer.on_waiting(&shard.service);
            }
        }
        self.step(context)
    }

    /// Handles the end of an attempt.
    pub fn on_end(&mut self, number: usize, end: End, context: &mut Context<'_>) -> Vec<Action> {
        let Some(attempt) = self.attempts.get_mut(number).and_then(Option::take) else {
            return Vec::new();
        };
        self.ends[number] = Some(end);
        self.record_observation(&attempt, end.observation(), context);
        match end {
            End::Served | End::Failed => self.is_answered = true,
            End::Broken | End::Invalid | End::Silent => {
                self.lost += 1;
                self.first_lost.get_or_insert_with(|| attempt.clone());
            }
            End::Shed | End::Resting | End::Misdirected | End::Unsent => {}
        }
        let shard = &mut self.shards[attempt.shard];
        shard.under_way -= 1;
        shard.has_loss |= !end.is_not_run();
        if end == End::Unsent {
            shard.tried.retain(|it| *it != attempt.server.id);
            shard.sends -= 1;
        } else if !matches!(end, End::Shed | End::Resting) {
            shard.excluded.push(attempt.server.id.clone());
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
        if self.is_held() && !end.is_not_run() {
            self.shards.iter_mut().for_each(|it| it.state = State::Lost);
        }
        self.step(context)
    }

    /// Makes the attempts that are due, and finishes the run if the final answer is due.
    pub fn on_timer(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        if self.is_finished {
            return Vec::new();
        }
        self.step(context)
    }

    /// Finishes the run with the answers that have arrived: the final answer is due now.
    pub fn cut_short(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        if self.is_finished {
            return Vec::new();
        }
        self.timing.end_at(context.now);
        self.step(context)
    }

    /// Returns when [`Run::on_timer`] is due.
    pub fn next_timer(&self, now: Time) -> Time {
        let mut next = if now < self.timing.soft_deadline {
            self.timing.soft_deadline
        } else {
            self.timing.hard_deadline
        };
        for shard in &self.shards {
            match shard.state {
                State::Waiting if shard.due > now => next = next.min(shard.due),
                State::Waiting => next = next.min(now + DISPATCH_RETRY_INTERVAL),
                State::Sent if self.is_limited() => {}
                State::Sent => next = shard.hedge_at.map_or(next, |it| next.min(it)),
                State::Served(_) | State::Lost => {}
            }
        }
        next.max(now)
    }

    /// Records that the attempts still under way were given up after the final answer. `is_silent`
    /// says that their servers had time to answer and did not.
    pub fn abandon(&mut self, is_silent: bool, context: &mut Context<'_>) {
        self.leave_queues(context);
        for number in 0..self.attempts.len() {
            let Some(attempt) = self.attempts[number].take() else { continue };
            let observation = if is_silent { Observation::Silent } else { Observation::Abandoned };
            self.record_observation(&attempt, observation, context);
        }
    }

    /// Makes the attempts that are due, and finishes the run if the final answer is due.
    fn step(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = self.advance(context);
        actions.extend(self.conclude(context));
        actions
    }

    /// Makes the attempts that are due: first attempts, retries and hedges.
    fn advance(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if context.now >= self.timing.hard_deadline {
            return actions;
        }
        for index in 0..self.shards.len() {
            let shard = &self.shards[index];
            match shard.state {
                State::Waiting if shard.due > context.now => {}
                State::Waiting if self.is_held() && self.is_under_way() => {}
                State::Waiting if shard.has_loss && self.is_limited() => {
                    if !self.is_under_way() {
                        self.shards[index].state = State::Lost;
                    }
                }
                State::Waiting => actions.extend(self.dispatch(index, context)),
                State::Sent if self.is_limited() => {}
                State::Sent if shard.hedge_at.is_some_and(|it| it <= context.now) => {
                    let postponed = self.postponed_hedge(index, context);
                    self.shards[index].hedge_at = postponed;
                    if postponed.is_none() {
                        actions.extend(self.send(index, true, context));
                    }
                }
                State::Sent | State::Served(_) | State::Lost => {}
            }
        }
        actions
    }

    /// Returns until when a hedge that is due waits, if this node has few left for the service.
    fn postponed_hedge(&self, index: usize, context: &mut Context<'_>) -> Option<Time> {
        let service = &self.shards[index].service;
        if context.balancer.hedges_left(service, context.now) >= FEW_HEDGES {
            return None;
        }
        let last = self.timing.last_hedge(context.balancer.usual_latency(&self.rule));
        (last > context.now).then_some(last)
    }

    /// Makes the first attempt at a shard, or replaces an attempt that ended without success.
    fn dispatch(&mut self, index: usize, context: &mut Context<'_>) -> Option<Action> {
        let shard = &self.shards[index];
        let max_attempts = self.max_attempts();
        if shard.tried.len() as u32 >= max_attempts && shard.excluded.len() == shard.tried.len()
            || shard.sends >= max_attempts + MAX_EXTRA_SENDS
        {
            self.shards[index].state = State::Lost;
            return None;
        }
        let action = self.send(index, false, context);
        let shard = &mut self.shards[index];
        if action.is_none() && shard.sends > 0 {
            // Waiting does not help a retry that has no budget or no server.
            shard.state = State::Lost;
        } else if action.is_none() {
            shard.due = context.now + DISPATCH_RETRY_INTERVAL;
        } else if std::mem::take(&mut shard.is_queued) {
            context.balancer.on_waited(&shard.service);
        }
        action
    }

    fn send(&mut self, index: usize, is_hedge: bool, context: &mut Context<'_>) -> Option<Action> {
        let now = context.now;
        let shard = &self.shards[index];
        let is_extra = shard.sends > 0;
        let may_be_new = (shard.tried.len() as u32) < self.max_attempts();
        if is_hedge && (!may_be_new || self.rule.repeat == Repeat::Once) {
            return None;
        }
        let purpose = match (is_hedge, is_extra) {
            (true, _) => Purpose::Hedge,
            (false, true) => Purpose::Retry,
            (false, false) => Purpose::First,
        };
        let (service, tried, excluded) = (&shard.service, &shard.tried, &shard.excluded);
        let balancer = &mut *context.balancer;
        let mut server = None;
        if may_be_new {
            server = balancer.pick(service, &self.rule, context.plan, tried, purpose, now);
        }
        if server.is_none() && !is_hedge {
            server = balancer.pick(service, &self.rule, context.plan, excluded, purpose, now);
            // A server that was not tried before would exceed the limit of the rule.
            server = server.filter(|it| may_be_new || tried.contains(&it.id));
        }
        let server = server?;
        if is_extra && !balancer.spend(service, is_hedge, now) {
            return None;
        }
        if !self.is_answered && (is_hedge || shard.has_loss) {
            self.unproven_sends += 1;
        }
        balancer.on_sent(&server.id, &self.rule, now);
        let hedge_delay = balancer.hedge_delay(&self.rule);
        let number = self.attempts.len();
        let budget = now.until(self.timing.hard_deadline);
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
        shard.hedge_at = (self.rule.repeat == Repeat::Idempotent).then_some(now + hedge_delay);
        Some(Action::Send(attempt))
    }

    /// Finishes the run if the final answer is due.
    fn conclude(&mut self, context: &mut Context<'_>) -> Option<Action> {
        let now = context.now;
        let served = self.shards.iter().filter(|it| it.is_served()).count();
        let is_pending =
            self.shards.iter().any(|it| matches!(it.state, State::Sent | State::Waiting));
        let is_complete = served == self.shards.len() && served > 0;
        let is_due = now >= self.timing.soft_deadline || !is_pending;
        if is_complete || served >= self.needed() && is_due {
            let verdict = self.success(self.shards.len() - served);
            return Some(self.finish(verdict, context));
        }
        let lost = self.shards.iter().filter(|it| it.state == State::Lost).count();
        let is_infeasible = self.shards.len() - lost < self.needed();
        let is_idle = !self.is_under_way();
        let is_undispatched = served == 0 && is_idle;
        let is_stalled = is_undispatched && now >= self.timing.dispatch_by
            || now >= self.timing.soft_deadline && is_idle;
        if now < self.timing.hard_deadline && !is_infeasible && is_pending && !is_stalled {
            return None;
        }
        let verdict = self.unserved(self.retry_after(context), now >= self.timing.hard_deadline);
        Some(self.finish(verdict, context))
    }

    fn success(&self, missing: usize) -> Verdict {
        let attempts: Vec<_> = self.shards.iter().filter_map(Shard::served).collect();
        match self.rule.target {
            Target::All(_) => Verdict::Merge { attempts, missing },
            Target::One(_) | Target::Split(_) => Verdict::Pass(attempts[0]),
        }
    }

    fn unserved(&self, retry_after: Duration, is_late: bool) -> Verdict {
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
        unserved_verdict(evidence, is_late, retry_after)
    }

    /// Returns how long a refused caller should wait: until enough shards have a server that may be
    /// tried, and at least the share of the objective set by [`RETRY_AFTER_DIVISOR`].
    fn retry_after(&self, context: &mut Context<'_>) -> Duration {
        let least = self.rule.objective / RETRY_AFTER_DIVISOR;
        let from = |it: &Shard| context.balancer.available_at(&it.service, context.now);
        let mut times: Vec<_> = self.shards.iter().filter_map(from).collect();
        times.sort_unstable();
        let enough = times.get(self.needed().saturating_sub(1)).or(times.last());
        context.now.until(enough.copied().unwrap_or_default()).max(least)
    }

    /// Returns whether the shards wait for the answer of the first.
    fn is_held(&self) -> bool {
        self.has_canary && !self.shards.iter().any(Shard::is_served)
    }

    /// Returns whether no shard is asked at a further server for now. Until some server has answered
    /// the request, it may end servers, or all may be slow: the others of one shard show that as well
    /// as those of all.
    fn is_limited(&self) -> bool {
        !self.is_answered && self.shards.len() > 1 && self.unproven_sends > 0
    }

    fn is_under_way(&self) -> bool {
        self.shards.iter().any(|it| it.under_way > 0)
    }

    /// Returns the number of servers of a shard that the request may be sent to.
    fn max_attempts(&self) -> u32 {
        if self.is_held() { 1 } else { self.rule.attempts }
    }

    fn needed(&self) -> usize {
        match &self.rule.target {
            Target::All(gather) => Gather::needed(gather),
            Target::One(_) | Target::Split(_) => 1,
        }
    }

    /// Records that no shard waits for a connection any more.
    fn leave_queues(&mut self, context: &mut Context<'_>) {
        for shard in self.shards.iter_mut().filter(|it| it.is_queued) {
            shard.is_queued = false;
            context.balancer.on_waited(&shard.service);
        }
    }

    fn finish(&mut self, verdict: Verdict, context: &mut Context<'_>) -> Action {
        self.leave_queues(context);
        self.is_finished = true;
        Action::Finish(verdict)
    }

    fn record_observation(
        &self,
        attempt: &Attempt,
        observation: Observation,
        context: &mut Context<'_>,
    ) {
        let service = context.plan.service(&attempt.server.service);
        let warm_up = service.map_or(Duration::ZERO, |it| it.warm_up);
        let id = &attempt.server.id;
        context.balancer.on_end(id, &self.rule, attempt.sent, observation, warm_up, context.now);
    }
}
