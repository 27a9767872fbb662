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

use super::{Coordinator, Request, link::Completion};
use crate::{fleet::View, trace::Span};

/// Runs one request, from its plan to its answer.
pub struct Session {
    coordinator: Arc<Coordinator>,
    request: Request,
    content: Fingerprint,
    rule: Rule,
    view: Arc<View>,
    deadline: Time,
    span: Span,
    sent: HashMap<u32, Sent>,
    completions: mpsc::UnboundedSender<Completion>,
    inbox: mpsc::UnboundedReceiver<Completion>,
}

/// An attempt without an outcome yet.
struct Sent {
    call: u64,
    server: Name,
    gate: Name,
    sent_at: Time,
}

impl Session {
    /// Creates the session of a request that is served by `rule`.
    pub fn new(
        coordinator: Arc<Coordinator>,
        request: Request,
        rule: Rule,
        view: Arc<View>,
    ) -> Session {
        let budget = request.budget.unwrap_or(rule.deadline()).min(rule.deadline());
        let deadline = coordinator.deadline(budget);
        let mut span =
            coordinator.tracer.start("query", SpanKind::Server, request.trace.as_deref());
        span.set("rule", rule.name.to_string());
        let (completions, inbox) = mpsc::unbounded_channel();
        Session {
            coordinator,
            content: request.content(),
            request,
            rule,
            view,
            deadline,
            span,
            sent: HashMap::new(),
            completions,
            inbox,
        }
    }

    /// Runs the request. If it was cancelled, the answer that it returns is not read.
    pub async fn run(mut self, cancelled: CancellationToken) -> Answer {
        let set = self.view.set.clone();
        let mut pinned = {
            let state = &mut *self.coordinator.lock();
            let now = self.coordinator.timer.now();
            state.chooser.choose(&set, &self.rule, &state.holdings, now)
        };
        let mut may_restart = true;
        let started = self.coordinator.timer.now();
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
                        self.coordinator.record_harmless(self.content, started);
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

    /// Runs the request on one snapshot. Returns `None` if it was cancelled.
    async fn attempt(
        &mut self,
        snapshot: &Snapshot,
        may_restart: bool,
        cancelled: &CancellationToken,
    ) -> Option<Ending> {
        let now = self.coordinator.timer.now();
        let mut run = Run::new(self.plan(snapshot, may_restart, now));
        let actions = run.start(now);
        if let Some(ending) = self.execute(snapshot, actions) {
            return Some(ending);
        }
        loop {
            let timer = self.coordinator.timer.at(run.next_timer());
            let actions = tokio::select! {
                Some(completion) = self.inbox.recv() => self.on_completion(&mut run, completion),
                _ = timer => {
                    let now = self.coordinator.timer.now();
                    run.on_timer(now, &mut self.coordinator.lock().rule(&self.rule.name).budget)
                }
                () = cancelled.cancelled() => {
                    let actions = run.cancel();
                    self.execute(snapshot, actions);
                    return None;
                }
            };
            if let Some(ending) = self.execute(snapshot, actions) {
                return Some(ending);
            }
        }
    }

    fn plan(&self, snapshot: &Snapshot, may_restart: bool, now: Time) -> Plan {
        let crashed = self.coordinator.quarantine().crashed_servers(self.content, now);
        let state = &mut *self.coordinator.lock();
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

    fn on_completion(
        &mut self,
        run: &mut Run,
        (attempt, outcome, hint): Completion,
    ) -> Vec<Action> {
        let now = self.coordinator.timer.now();
        let Some(sent) = self.sent.remove(&attempt) else { return Vec::new() };
        self.coordinator.on_outcome(&sent.server, &sent.gate, &outcome, hint, now);
        self.coordinator.metrics.on_attempt(&self.rule.name, &outcome);
        let mut state = self.coordinator.lock();
        let rule = state.rule(&self.rule.name);
        if matches!(outcome, Outcome::Served(_)) {
            rule.latency.record(now.since(sent.sent_at), now);
        }
        run.on_outcome(attempt, outcome, now, &mut rule.budget)
    }

    /// Executes the actions of the run. Returns the ending, if the run has ended.
    fn execute(&mut self, snapshot: &Snapshot, actions: Vec<Action>) -> Option<Ending> {
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
                    self.coordinator.on_cancelled(&sent.server);
                    self.coordinator.metrics.on_attempt_cancelled(&self.rule.name);
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
        let now = self.coordinator.timer.now();
        let id = self.coordinator.next_call();
        let mut subs = Vec::with_capacity(attempts.len());
        for attempt in attempts {
            let server = attempt.route.server;
            self.coordinator.on_sent(&server);
            let sent = Sent { call: id, server: server.clone(), gate: gate.clone(), sent_at: now };
            self.sent.insert(attempt.id, sent);
            let (shard, is_repeat) = (attempt.shard, attempt.is_repeat);
            subs.push(SubRequest { attempt: attempt.id, server, shard, is_repeat });
        }
        let parent = self.span.context();
        let mut span =
            self.coordinator.tracer.start("entry to gate", SpanKind::Client, parent.as_deref());
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
        let completions = self.completions.clone();
        let timer = self.coordinator.timer.clone();
        let deadline = self.deadline;
        match self.coordinator.links.get(&gate, &self.view) {
            Some(link) => {
                tokio::spawn(async move {
                    link.call(call, deadline, &timer, completions).await;
                    drop(span);
                });
            }
            None => {
                for sub in call.subs {
                    let outcome = Outcome::Refused(Refusal::GateUnreachable);
                    let _ = completions.send((sub.attempt, outcome, None));
                }
            }
        }
    }

    fn cancel(&self, gate: &Name, call: u64, attempts: Vec<u32>) {
        let Some(link) = self.coordinator.links.get(gate, &self.view) else { return };
        tokio::spawn(async move { link.cancel(call, attempts).await });
    }
}
