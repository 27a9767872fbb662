use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use mimosabridge::{
    config::Rule,
    fingerprint::Fingerprint,
    name::Name,
    outcome::{Hint, Outcome, Refusal},
    place::Placement,
    quarantine::List,
    query::Answer,
    time::Time,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::{Links, Request, session::Session, state::State};
use crate::{
    fleet::{Connectivity, View},
    metrics::Metrics,
    timer,
    trace::Tracer,
};

/// What a coordinator is created from.
pub struct Parts {
    /// The data centre of the entry.
    pub data_centre: Name,
    /// Distinguishes this process instance from earlier ones, and seeds its random choices.
    pub boot: u64,
    /// The timer service.
    pub timer: timer::Service,
    /// What the node knows about the fleet.
    pub view: watch::Receiver<Arc<View>>,
    /// Says whether this node has lost contact with the others.
    pub connectivity: Connectivity,
    /// The contents that were found to crash backend servers.
    pub quarantine: Arc<Mutex<List>>,
    /// The metrics of this node.
    pub metrics: Metrics,
    /// Starts the spans of this node.
    pub tracer: Tracer,
    /// The name of this node.
    pub name: Name,
    /// Which gates send requests to a server at the same time.
    pub placement: Placement,
}

/// Admits requests, starts their sessions and holds the state that the sessions share.
pub struct Coordinator {
    /// The timer service.
    pub timer: timer::Service,
    /// The connections to the other nodes.
    pub links: Links,
    /// The metrics of this node.
    pub metrics: Metrics,
    /// Starts the spans of this node.
    pub tracer: Tracer,
    name: Name,
    placement: Placement,
    view: watch::Receiver<Arc<View>>,
    connectivity: Connectivity,
    quarantine: Arc<Mutex<List>>,
    state: Mutex<State>,
    next_call: AtomicU64,
    stopping: AtomicBool,
    /// The latest deadline of all requests so far, in microseconds.
    latest_deadline: AtomicU64,
    answers_due: OnceLock<Time>,
}

impl Coordinator {
    /// Creates the coordinator of an entry.
    pub fn new(parts: Parts) -> Coordinator {
        Coordinator {
            timer: parts.timer,
            links: Links::new(),
            metrics: parts.metrics,
            tracer: parts.tracer,
            name: parts.name,
            placement: parts.placement,
            view: parts.view,
            connectivity: parts.connectivity,
            quarantine: parts.quarantine,
            state: Mutex::new(State::new(parts.data_centre, parts.boot, parts.placement)),
            next_call: AtomicU64::new(parts.boot << 24),
            stopping: AtomicBool::new(false),
            latest_deadline: AtomicU64::new(0),
            answers_due: OnceLock::new(),
        }
    }

    /// Returns what the node knows about the fleet.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Returns whether the balancer should send callers to this entry.
    pub fn is_ready(&self) -> bool {
        let stopping = self.stopping.load(Ordering::Relaxed);
        let view = self.view.borrow();
        let can_serve = view.config.is_some() && !view.gates.is_empty();
        can_serve && !stopping && !self.connectivity.is_isolated()
    }

    /// Makes [`Coordinator::is_ready`] return false, so that the balancer moves the callers away.
    /// Requests are still served.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns when the last deadline of all requests is, in a planned stop. Requests that begin later
    /// have no more time.
    pub fn answers_due(&self) -> Time {
        let latest = Time::from_micros(self.latest_deadline.load(Ordering::Relaxed));
        let due = latest.max(self.timer.now() + self.longest_deadline());
        *self.answers_due.get_or_init(|| due)
    }

    /// Returns whether [`Coordinator::answers_due`] limits the time of requests that begin now.
    pub fn is_closed(&self) -> bool {
        self.answers_due.get().is_some()
    }

    /// Returns how long a request of any rule may take.
    pub fn longest_deadline(&self) -> Duration {
        self.view().set.rules.values().map(Rule::deadline).max().unwrap_or_default()
    }

    /// Returns the deadline of a request that begins now.
    pub fn deadline(&self, budget: Duration) -> Time {
        let deadline = self.timer.now() + budget;
        let deadline = self.answers_due.get().map_or(deadline, |it| deadline.min(*it));
        self.latest_deadline.fetch_max(deadline.as_micros(), Ordering::Relaxed);
        deadline
    }

    /// Applies each change of the fleet view, until the view's sender is dropped.
    pub async fn follow(self: Arc<Self>) {
        let mut view = self.view.clone();
        view.mark_changed();
        let mut stamp = None;
        while view.changed().await.is_ok() {
            let view = view.borrow_and_update().clone();
            let mut state = self.lock();
            let latest = view.config.as_ref().map(|it| it.stamp);
            if latest != stamp {
                stamp = latest;
                state.table.reconfigure(view.set.clone());
                state.chooser.reset();
                state.holdings.retain(|it| view.set.servers.contains_key(it));
            }
            state.table.set_gates(self.gates(&view));
            state.table.set_leaving(view.leaving.clone());
            drop(state);
            self.links.retain(&view);
        }
    }

    /// Returns the gates that attempts may go through, each with its data centre.
    fn gates(&self, view: &View) -> BTreeMap<Name, Name> {
        let mut gates = view.gate_data_centres();
        if let Placement::Direct { .. } = self.placement {
            gates.retain(|name, _| *name == self.name);
        }
        gates
    }

    /// Serves a request or returns a refusal. The request is abandoned when `cancelled` fires.
    pub async fn serve(self: &Arc<Self>, request: Request, cancelled: CancellationToken) -> Answer {
        let started = self.timer.now();
        let rule = request.rule.clone();
        let answer = self.admit(request, cancelled).await;
        // Callers choose the names of rules that do not exist, so their number is unbounded: as
        // metric labels they would use memory without limit.
        if answer.refusal != Some(Refusal::NotConfigured) {
            self.metrics.on_answer(&rule, &answer, self.timer.now().since(started));
        }
        answer
    }

    async fn admit(self: &Arc<Self>, request: Request, cancelled: CancellationToken) -> Answer {
        let view = self.view();
        let Some(rule) = view.set.rules.get(&request.rule).cloned() else {
            return Answer::not_run(Refusal::NotConfigured);
        };
        let now = self.timer.now();
        if self.quarantine().is_quarantined(request.content(), now) {
            return Answer::not_run(Refusal::Quarantined);
        }
        if !self.lock().admission.try_admit(rule.class, now) {
            return Answer::not_run(Refusal::Overloaded);
        }
        self.metrics.under_way.inc();
        let session = Session::new(self.clone(), request, rule, view);
        let answer = tokio::spawn(session.run(cancelled)).await;
        self.lock().admission.release();
        self.metrics.under_way.dec();
        answer.unwrap_or_else(|_| Answer::unknown())
    }

    /// Returns an identifier for a call, unique in the fleet.
    pub fn next_call(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Records an attempt that was sent to a server.
    pub fn on_sent(&self, server: &Name) {
        self.lock().table.on_sent(server);
    }

    /// Records an attempt that was cancelled.
    pub fn on_cancelled(&self, server: &Name) {
        self.lock().table.on_done(server);
    }

    /// Records the outcome of an attempt, and what its gate reported about the server. Without a
    /// hint, the gate is recorded as unreachable.
    pub fn on_outcome(
        &self,
        server: &Name,
        gate: &Name,
        outcome: &Outcome,
        hint: Option<Hint>,
        now: Time,
    ) {
        let mut state = self.lock();
        state.table.on_done(server);
        match hint {
            Some(hint) => {
                state.table.on_hint(server, hint, now);
                state.table.on_gate_answer(gate);
            }
            None => state.table.on_gate_unreachable(gate, now),
        }
        let is_overload = matches!(outcome, Outcome::Refused(refusal) if refusal.is_overload());
        state.admission.on_outcome(is_overload, now);
        self.metrics.pressure_percent.set((state.admission.pressure() * 100.0) as i64);
        match outcome {
            Outcome::Served(reply) => state.holdings.record(server, reply.holds.clone(), now),
            Outcome::Refused(Refusal::NotHeld(held)) => {
                state.holdings.record(server, held.clone(), now);
            }
            _ => {}
        }
    }

    /// Records that a content was run on all shards without a crash, in a run that started at
    /// `started`.
    pub fn record_harmless(&self, content: Fingerprint, started: Time) {
        self.quarantine().clear_all(content, started, self.timer.now());
        self.lock().record_harmless(content);
    }

    /// Returns the contents that crash backend servers.
    pub fn quarantine(&self) -> MutexGuard<'_, List> {
        self.quarantine.lock().expect("no holder of the lock panics")
    }

    /// Locks the state that the sessions share. Hold the lock only briefly.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
