use std::{collections::HashMap, sync::Arc};

use mimosabridge::{
    config::{Rule, Snapshot},
    fingerprint::Fingerprint,
    name::Name,
    outcome::{Outcome, Refusal},
    query::{Action, Answer, Attempt, Ending, Plan, Run},
    time::Time,
    wire::{Call, SubRequest},
};
use opentelemetry::trace::SpanKind;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::{Front, Request, link::Fate};
use crate::{fleet::View, trace::Span};

/// One request from its plan to its answer.
pub struct Session {
    front: Arc<Front>,
    request: Request,
    content: Fingerprint,
    rule: Rule,
    view: Arc<View>,
    deadline: Time,
    span: Span,
    sent: HashMap<u32, Sent>,
    fates: mpsc::UnboundedSender<Fate>,
    inbox: mpsc::UnboundedReceiver<Fate>,
}

/// An attempt that has not come to its end.
struct Sent {
    call: u64,
    server: Name,
    gate: Name,
    at: Time,
}

impl Session {
    /// Creates the session of a request that is served by `rule`.
    pub fn new(front: Arc<Front>, request: Request, rule: Rule, view: Arc<View>) -> Session {
        let budget = request.budget.unwrap_or(rule.deadline()).min(rule.deadline());
        let deadline = front.timer.now() + budget;
        let mut span = front.tracer.start("query", SpanKind::Server, request.trace.as_deref());
        span.set("rule", rule.name.to_string());
        let (fates, inbox) = mpsc::unbounded_channel();
        Session {
            front,
            content: request.content(),
            request,
            rule,
            view,
            deadline,
            span,
            sent: HashMap::new(),
            fates,
            inbox,
        }
    }

    /// Runs the request. Returns an answer that nobody reads if it was cancelled.
    pub async fn run(mut self, cancelled: CancellationToken) -> Answer {
        let set = self.view.set.clone();
        let mut pinned = {
            let state = &mut *self.front.lock();
            let now = self.front.timer.now();
            state.chooser.choose(&set, &self.rule, &state.holdings, now)
        };
        let mut may_restart = true;
        loop {
            let Some(snapshot) = pinned else {
                return Answer::not_run(Refusal::NotConfigured);
            };
            match self.attempt(snapshot, may_restart, &cancelled).await {
                Some(Ending::Settled { replies, coverage, may_have_run }) => {
                    self.span.set("shards", coverage.total as i64);
                    self.span.set("covered", coverage.answered as i64);
                    self.span.set("snapshot", snapshot.version as i64);
                    if coverage.is_complete() {
                        self.front.on_harmless(self.content);
                    }
                    return Answer::new(
                        snapshot.version,
                        replies,
                        coverage,
                        may_have_run,
                        self.rule.deduplicate,
                        self.rule.max_hits,
                    );
                }
                Some(Ending::Restart { version }) => {
                    may_restart = false;
                    let snapshots = set.snapshots_of(&self.rule.index);
                    pinned = snapshots.into_iter().find(|it| it.version <= version);
                }
                Some(Ending::Quarantine { .. }) | None => return Answer::unknown(),
            }
        }
    }

    /// Runs the request on one snapshot. Returns nothing if it was cancelled.
    async fn attempt(
        &mut self,
        snapshot: &Snapshot,
        may_restart: bool,
        cancelled: &CancellationToken,
    ) -> Option<Ending> {
        let now = self.front.timer.now();
        let mut run = Run::new(self.plan(snapshot, may_restart, now));
        let actions = run.start(now);
        if let Some(ending) = self.act(snapshot, actions) {
            return Some(ending);
        }
        loop {
            let alarm = self.front.timer.at(run.next_timer());
            let actions = tokio::select! {
                Some(fate) = self.inbox.recv() => self.on_fate(&mut run, fate),
                _ = alarm => {
                    let now = self.front.timer.now();
                    run.on_timer(now, &mut self.front.lock().rule(&self.rule.name).budget)
                }
                () = cancelled.cancelled() => {
                    let actions = run.cancel();
                    self.act(snapshot, actions);
                    return None;
                }
            };
            if let Some(ending) = self.act(snapshot, actions) {
                return Some(ending);
            }
        }
    }

    fn plan(&self, snapshot: &Snapshot, may_restart: bool, now: Time) -> Plan {
        let crashed = self.front.quarantine().crashed_servers(self.content).to_vec();
        let state = &mut *self.front.lock();
        let targets =
            state.table.targets(&self.rule, snapshot, &state.holdings, now, &mut state.rng);
        let is_wide = targets.len() > self.rule.canary_over;
        let canaries = usize::from(is_wide && !state.is_harmless(self.content));
        Plan {
            snapshot: snapshot.version,
            targets,
            deadline: self.deadline,
            idempotent: self.request.idempotent,
            hedge_after: state.rule(&self.rule.name).hedge_after(self.rule.hedge_quantile),
            canaries,
            crashed,
            may_restart,
        }
    }

    fn on_fate(&mut self, run: &mut Run, (attempt, outcome, hint): Fate) -> Vec<Action> {
        let now = self.front.timer.now();
        let Some(sent) = self.sent.remove(&attempt) else { return Vec::new() };
        self.front.on_outcome(&sent.server, &sent.gate, &outcome, hint, now);
        self.front.metrics.on_attempt(&self.rule.name, &outcome);
        let mut state = self.front.lock();
        let rule = state.rule(&self.rule.name);
        if matches!(outcome, Outcome::Served(_)) {
            rule.latency.record(now.since(sent.at), now);
        }
        run.on_outcome(attempt, outcome, now, &mut rule.budget)
    }

    /// Does what the run asks for. Returns the ending, if the run has come to it.
    fn act(&mut self, snapshot: &Snapshot, actions: Vec<Action>) -> Option<Ending> {
        let mut sends: HashMap<Name, Vec<Attempt>> = HashMap::new();
        let mut cancels: HashMap<(Name, u64), Vec<u32>> = HashMap::new();
        let mut ending = None;
        for action in actions {
            match action {
                Action::Send(attempt) => {
                    sends.entry(attempt.route.gate.clone()).or_default().push(attempt);
                }
                Action::Cancel(attempt) => {
                    let Some(sent) = self.sent.remove(&attempt) else { continue };
                    self.front.on_cancelled(&sent.server);
                    self.front.metrics.on_attempt_cancelled(&self.rule.name);
                    cancels.entry((sent.gate, sent.call)).or_default().push(attempt);
                }
                Action::End(end) => ending = Some(end),
            }
        }
        for (gate, attempts) in sends {
            self.send(snapshot, gate, attempts);
        }
        for ((gate, call), attempts) in cancels {
            self.cancel(&gate, call, attempts);
        }
        ending
    }

    fn send(&mut self, snapshot: &Snapshot, gate: Name, attempts: Vec<Attempt>) {
        let now = self.front.timer.now();
        let id = self.front.next_call();
        let mut subs = Vec::with_capacity(attempts.len());
        for attempt in attempts {
            let server = attempt.route.server;
            self.front.on_sent(&server);
            let sent = Sent { call: id, server: server.clone(), gate: gate.clone(), at: now };
            self.sent.insert(attempt.id, sent);
            subs.push(SubRequest { attempt: attempt.id, server, shard: attempt.shard });
        }
        let parent = self.span.context();
        let mut span =
            self.front.tracer.start("entry to gate", SpanKind::Client, parent.as_deref());
        span.set("gate", gate.to_string());
        span.set("sub_requests", subs.len() as i64);
        let call = Call {
            id,
            class: self.rule.class,
            content: self.content,
            idempotent: self.request.idempotent,
            budget_micros: now.until(self.deadline).as_micros() as u64,
            snapshot: snapshot.version,
            query: self.request.query.clone(),
            trace: span.context(),
            subs,
        };
        let fates = self.fates.clone();
        let timer = self.front.timer.clone();
        let deadline = self.deadline;
        match self.front.links.get(&gate, &self.view) {
            Some(link) => {
                tokio::spawn(async move {
                    link.call(call, deadline, &timer, fates).await;
                    drop(span);
                });
            }
            None => {
                for sub in call.subs {
                    let outcome = Outcome::Refused(Refusal::GateUnreachable);
                    let _ = fates.send((sub.attempt, outcome, None));
                }
            }
        }
    }

    fn cancel(&self, gate: &Name, call: u64, attempts: Vec<u32>) {
        let Some(link) = self.front.links.get(gate, &self.view) else { return };
        tokio::spawn(async move { link.cancel(call, attempts).await });
    }
}
