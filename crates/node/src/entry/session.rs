use std::{collections::HashMap, sync::Arc};

use mimosabridge::{
    config::{Rule, Set, Snapshot},
    name::Name,
    outcome::{Outcome, Refusal},
    query::{Action, Answer, Attempt, Ending, Plan, Run},
    time::Time,
    wire::{Call, Sub},
};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::{Front, Request, link::Fate};
use crate::fleet::View;

/// One request from its plan to its answer.
pub struct Session {
    front: Arc<Front>,
    request: Request,
    rule: Rule,
    view: Arc<View>,
    deadline: Time,
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
        let (fates, inbox) = mpsc::unbounded_channel();
        Session { front, request, rule, view, deadline, sent: HashMap::new(), fates, inbox }
    }

    /// Runs the request. Returns nothing if it was cancelled.
    pub async fn run(mut self, cancelled: CancellationToken) -> Option<Answer> {
        let set = &self.view.config.clone()?.set;
        let mut snapshot = newest(set, &self.rule)?;
        let mut may_restart = true;
        loop {
            match self.attempt(snapshot, may_restart, &cancelled).await? {
                Ending::Settled { replies, coverage, may_have_run } => {
                    return Some(Answer::new(
                        snapshot.version,
                        replies,
                        coverage,
                        may_have_run,
                        self.rule.deduplicate,
                        self.rule.max_hits,
                    ));
                }
                Ending::Restart { version } => {
                    may_restart = false;
                    snapshot = at_version(set, &self.rule, version).unwrap_or(snapshot);
                }
                Ending::Quarantine { .. } => return None,
            }
        }
    }

    async fn attempt(
        &mut self,
        snapshot: &Snapshot,
        may_restart: bool,
        cancelled: &CancellationToken,
    ) -> Option<Ending> {
        let now = self.front.timer.now();
        let plan = Plan {
            snapshot: snapshot.version,
            targets: self.front.targets(&self.rule, snapshot, now),
            deadline: self.deadline,
            idempotent: self.request.idempotent,
            hedge_after: self.front.hedge_after(&self.rule),
            canaries: 0,
            may_restart,
        };
        let mut run = Run::new(plan);
        let actions = run.start(now);
        if let Some(ending) = self.act(snapshot, actions) {
            return Some(ending);
        }
        loop {
            let alarm = self.front.timer.at(run.wake_at());
            let actions = tokio::select! {
                Some(fate) = self.inbox.recv() => self.on_fate(&mut run, fate),
                _ = alarm => {
                    let now = self.front.timer.now();
                    self.front.with_rule(&self.rule.name, |it| run.on_time(now, &mut it.budget))
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

    fn on_fate(&mut self, run: &mut Run, (attempt, outcome, hint): Fate) -> Vec<Action> {
        let now = self.front.timer.now();
        let Some(sent) = self.sent.remove(&attempt) else { return Vec::new() };
        self.front.on_done(&sent.server, hint, now);
        let served = matches!(outcome, Outcome::Served(_));
        self.front.with_rule(&self.rule.name, |it| {
            if served {
                it.latency.record(now.since(sent.at), now);
            }
            run.on_outcome(attempt, outcome, now, &mut it.budget)
        })
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
                    self.front.on_done(&sent.server, None, self.front.timer.now());
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
            subs.push(Sub { attempt: attempt.id, server, shard: attempt.shard });
        }
        let call = Call {
            id,
            class: self.rule.class,
            budget_micros: now.until(self.deadline).as_micros() as u64,
            snapshot: snapshot.version,
            query: self.request.query.clone(),
            trace: None,
            subs,
        };
        let fates = self.fates.clone();
        match self.front.links.get(&gate, &self.view) {
            Some(link) => drop(tokio::spawn(async move { link.call(call, fates).await })),
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

fn newest<'a>(set: &'a Set, rule: &Rule) -> Option<&'a Snapshot> {
    set.snapshots_of(&rule.index).into_iter().next()
}

fn at_version<'a>(set: &'a Set, rule: &Rule, version: u64) -> Option<&'a Snapshot> {
    set.snapshots_of(&rule.index).into_iter().find(|it| it.version == version)
}
