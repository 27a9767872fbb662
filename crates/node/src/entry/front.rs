use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use mimosabridge::{
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

/// What an entry is made of.
pub struct Parts {
    /// The data centre that the entry stands in.
    pub data_centre: Name,
    /// Tells this process from its earlier ones, and seeds its random choices.
    pub boot: u64,
    /// The timers.
    pub timer: timer::Service,
    /// What is known of the fleet.
    pub view: watch::Receiver<Arc<View>>,
    /// The contact of this node with the others.
    pub connectivity: Connectivity,
    /// The contents that crash backend servers.
    pub quarantine: Arc<Mutex<List>>,
    /// The metrics of this node.
    pub metrics: Metrics,
    /// Starts the spans of this node.
    pub tracer: Tracer,
    /// The name of this node.
    pub name: Name,
    /// Which gates reach a server at once.
    pub placement: Placement,
}

/// What the sessions of an entry share.
pub struct Front {
    /// The timers.
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
}

impl Front {
    /// Creates the shared part of an entry.
    pub fn new(parts: Parts) -> Front {
        Front {
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
        }
    }

    /// Returns what is known of the fleet.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let stopping = self.stopping.load(Ordering::Relaxed);
        let view = self.view.borrow();
        let can_serve = view.config.is_some() && !view.gates.is_empty();
        can_serve && !stopping && !self.connectivity.is_isolated()
    }

    /// Tells the balancer to move its callers, while they are still served.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Follows the view of the fleet until it ends.
    pub async fn follow(self: Arc<Self>) {
        let mut view = self.view.clone();
        view.mark_changed();
        let mut stamp = None;
        while view.changed().await.is_ok() {
            let view = view.borrow_and_update().clone();
            let mut state = self.lock();
            let newer = view.config.as_ref().map(|it| it.stamp);
            if newer != stamp {
                stamp = newer;
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

    /// Returns the gates that attempts may go through.
    fn gates(&self, view: &View) -> BTreeMap<Name, Name> {
        let mut gates = view.gate_data_centres();
        if let Placement::Direct { .. } = self.placement {
            gates.retain(|name, _| *name == self.name);
        }
        gates
    }

    /// Serves a request, unless it must be turned away. It is dropped when `cancelled`.
    pub async fn serve(self: &Arc<Self>, request: Request, cancelled: CancellationToken) -> Answer {
        let begun = self.timer.now();
        let rule = request.rule.clone();
        let answer = self.admit(request, cancelled).await;
        // The names of rules that do not exist are the callers' own and would be without bound.
        if answer.refusal != Some(Refusal::NotConfigured) {
            self.metrics.on_answer(&rule, &answer, self.timer.now().since(begun));
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

    /// Returns a number for a call that no other call of the fleet has.
    pub fn next_call(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes note of an attempt that was sent to a server.
    pub fn on_sent(&self, server: &Name) {
        self.lock().table.on_sent(server);
    }

    /// Takes note of an attempt that was cancelled.
    pub fn on_cancelled(&self, server: &Name) {
        self.lock().table.on_done(server);
    }

    /// Takes note of the outcome of an attempt, and of what its gate said of the server.
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
        let no_room = matches!(outcome, Outcome::Refused(refusal) if refusal.is_overload());
        state.admission.on_outcome(no_room, now);
        self.metrics.pressure_percent.set((state.admission.pressure() * 100.0) as i64);
        match outcome {
            Outcome::Served(reply) => state.holdings.record(server, reply.holds.clone(), now),
            Outcome::Refused(Refusal::NotHeld(held)) => {
                state.holdings.record(server, held.clone(), now);
            }
            _ => {}
        }
    }

    /// Takes note that a content was run in full without a crash.
    pub fn on_harmless(&self, content: Fingerprint) {
        self.quarantine().clear(content);
        self.lock().on_harmless(content);
    }

    /// Returns the contents that crash backend servers.
    pub fn quarantine(&self) -> MutexGuard<'_, List> {
        self.quarantine.lock().expect("no holder of the lock panics")
    }

    /// Returns the decisions that sessions share. Hold them only for a moment.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
