use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use mimosabridge::{
    config::{Bundle, Stamp},
    fingerprint::Fingerprint,
    gate::{self, Action, Completion, Gate, RANKED_GATES, Rank, Settings, Task},
    name::Name,
    outcome::{Failure, Hint, Outcome, Refusal},
    place::{self, Block, Placement},
    quarantine::{Crash, List, Weight},
    time::Time,
    wire,
};
use opentelemetry::trace::SpanKind;
use tokio::sync::{mpsc, oneshot, watch};

use super::{
    Message,
    job::{CallContext, Job},
};
use crate::{
    backend, events,
    fleet::{self, Connectivity, View},
    metrics::{self, Metrics},
    timer,
    trace::Tracer,
};

/// How often the gate checks for expired tasks and silent connections.
const TICK: Duration = Duration::from_millis(20);

/// How often the servers that the gate is the primary of are asked for their health.
const HEALTH_PERIOD: Duration = Duration::from_secs(1);

/// The dependencies of the actor of a gate.
pub struct Parts {
    /// The name of this node.
    pub name: Name,
    /// The settings of the gate.
    pub settings: Settings,
    /// Which gates send requests to a server at the same time.
    pub placement: Placement,
    /// The timers.
    pub timer: timer::Service,
    /// The view of the fleet.
    pub view: watch::Receiver<Arc<View>>,
    /// The connectivity of this node to the rest of the system.
    pub connectivity: Connectivity,
    /// The quarantine list of contents that crash backend servers.
    pub quarantine: Arc<Mutex<List>>,
    /// The metrics of this node.
    pub metrics: Metrics,
    /// Starts the spans of this node.
    pub tracer: Tracer,
    /// Receives reports of backend servers that leave or crash.
    pub fleet: mpsc::UnboundedSender<fleet::Message>,
}

/// Drives a [`Gate`]: one task owns it and handles messages in order.
pub struct Actor {
    parts: Parts,
    inbox: mpsc::UnboundedReceiver<Message>,
    outbox: mpsc::UnboundedSender<Message>,
    gate: Gate,
    jobs: HashMap<u64, Job>,
    calls: HashMap<u64, BTreeSet<u64>>,
    clients: HashMap<Name, backend::Client>,
    boots: HashMap<Name, u64>,
    next_task: u64,
    /// The configuration and the gates that the current ranks were computed for.
    ranked_for: Option<(Stamp, BTreeMap<Name, Name>)>,
    suspended_since: Option<Time>,
    isolated: bool,
    stopping: Option<oneshot::Sender<()>>,
}

impl Actor {
    /// Starts the actor of a gate and returns the sender of its messages.
    pub fn start(parts: Parts) -> mpsc::UnboundedSender<Message> {
        let (outbox, inbox) = mpsc::unbounded_channel();
        let actor = Actor {
            gate: Gate::new(parts.settings),
            parts,
            inbox,
            outbox: outbox.clone(),
            suspended_since: None,
            isolated: false,
            jobs: HashMap::new(),
            calls: HashMap::new(),
            clients: HashMap::new(),
            boots: HashMap::new(),
            next_task: 0,
            ranked_for: None,
            stopping: None,
        };
        tokio::spawn(actor.run());
        outbox
    }

    async fn run(mut self) {
        let mut ticks = self.parts.timer.every(TICK);
        let mut polls = self.parts.timer.every(HEALTH_PERIOD);
        self.on_view();
        loop {
            tokio::select! {
                message = self.inbox.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                Some(tick) = ticks.recv() => self.on_tick(tick),
                Some(_) = polls.recv() => self.poll_health(),
                Ok(()) = self.parts.view.changed() => self.on_view(),
            }
            if self.has_stopped() {
                self.refuse_rest();
                return;
            }
        }
    }

    fn has_stopped(&mut self) -> bool {
        if self.stopping.is_none() || !self.gate.is_idle() {
            return false;
        }
        if let Some(done) = self.stopping.take() {
            let _ = done.send(());
        }
        true
    }

    /// Refuses the calls that have arrived since, and makes later ones fail.
    fn refuse_rest(&mut self) {
        self.inbox.close();
        while let Ok(message) = self.inbox.try_recv() {
            self.on_message(message);
        }
    }

    fn on_tick(&mut self, tick: timer::Tick) {
        let now = tick.now;
        if tick.late >= self.parts.settings.pause_limit {
            self.gate.on_pause();
            self.suspended_since = Some(now);
        }
        if self.parts.connectivity.is_isolated() && !self.isolated {
            self.isolated = true;
            events::NODE_ISOLATED.emit(&[("isolated", &true)]);
            let actions = self.gate.isolate(now);
            self.act(actions);
        }
        let suspended_since = self.suspended_since.unwrap_or_default();
        let is_suspended = self.isolated || self.suspended_since.is_some();
        if is_suspended
            && !self.parts.connectivity.is_isolated()
            && self.parts.connectivity.last_contact() > suspended_since
        {
            if self.isolated {
                events::NODE_ISOLATED.emit(&[("isolated", &false)]);
            }
            self.isolated = false;
            self.suspended_since = None;
            let actions = self.gate.release(now);
            self.act(actions);
        }
        let actions = self.gate.tick(now);
        self.act(actions);
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Call(call, items) => self.on_call(call, items),
            Message::Cancel(call, attempts) => self.on_cancel(call, &attempts),
            Message::Completed(task, completion) => self.on_completed(task, completion),
            Message::Health(server, requested_at, health) => {
                let now = self.parts.timer.now();
                let actions = match health {
                    Some(health) => {
                        self.boots.insert(server.clone(), health.server.boot);
                        self.report_leaving(&server, &health.server);
                        self.gate.on_health(&server, &health.server, requested_at, now)
                    }
                    None => self.gate.on_unreachable(&server, now),
                };
                self.act(actions);
            }
            Message::Hints(reply) => {
                let _ = reply.send(self.gate.hints(self.parts.timer.now()));
            }
            Message::Stop(done) => {
                self.gate.stop();
                self.stopping = Some(done);
            }
        }
    }

    fn on_call(&mut self, call: wire::Call, items: mpsc::UnboundedSender<wire::Item>) {
        let now = self.parts.timer.now();
        let quarantined = self.is_quarantined(call.content);
        let context = Arc::new(CallContext {
            id: call.id,
            content: call.content,
            class: call.class,
            snapshot: call.snapshot,
            query: Arc::from(call.query),
            trace: call.trace,
            deadline: now + Duration::from_micros(call.budget_micros),
            items,
        });
        for sub in call.subs {
            let id = self.next_task;
            self.next_task += 1;
            let task = Task {
                id,
                server: sub.server.clone(),
                class: context.class,
                deadline: context.deadline,
            };
            let job = Job {
                call: context.clone(),
                attempt: sub.attempt,
                server: sub.server,
                shard: sub.shard,
                offered: now,
                is_repeat: sub.is_repeat,
                exchange: None,
                finished: false,
            };
            self.jobs.insert(id, job);
            self.calls.entry(context.id).or_default().insert(id);
            let actions = if quarantined {
                let hint = self.gate.hint(&task.server, now);
                vec![Action::Finish(id, Outcome::Refused(Refusal::Quarantined), hint)]
            } else {
                self.gate.offer(task, now)
            };
            self.act(actions);
        }
    }

    fn is_quarantined(&self, content: Fingerprint) -> bool {
        let now = self.parts.timer.now();
        let list = self.parts.quarantine.lock().expect("no holder of the lock panics");
        list.is_quarantined(content, now)
    }

    fn on_cancel(&mut self, call: u64, attempts: &[u32]) {
        let Some(tasks) = self.calls.get(&call) else { return };
        let wanted = |it: &u64| {
            let job = self.jobs.get(it);
            job.is_some_and(|it| attempts.is_empty() || attempts.contains(&it.attempt))
        };
        let tasks: Vec<_> = tasks.iter().copied().filter(wanted).collect();
        for task in tasks {
            let actions = self.gate.cancel(task, self.parts.timer.now());
            self.act(actions);
        }
    }

    fn on_completed(&mut self, task: u64, completion: Completion) {
        if let Some(job) = self.jobs.get(&task) {
            let server = job.server.clone();
            if let Some(report) = &completion.report {
                self.boots.insert(server.clone(), report.boot);
                self.report_leaving(&server, report);
            }
            if matches!(completion.outcome, Outcome::Failed(Failure::Crashed)) {
                let message = fleet::Message::ServerCrashed(
                    job.call.content,
                    Crash {
                        born: self.boots.get(&server).copied().unwrap_or_default(),
                        server,
                        service: job.shard.key(),
                        age: Duration::ZERO,
                        is_repeat: job.is_repeat,
                        weight: Weight::PROVEN,
                    },
                );
                let _ = self.parts.fleet.send(message);
            }
        }
        let actions = self.gate.complete(task, completion, self.parts.timer.now());
        if let Some(job) = self.jobs.get_mut(&task) {
            job.exchange = None;
        }
        self.act(actions);
        self.remove_task(task);
    }

    fn report_leaving(&self, server: &Name, report: &gate::Report) {
        if report.condition == gate::Condition::Leaving {
            let _ = self.parts.fleet.send(fleet::Message::ServerLeaving(server.clone()));
        }
    }

    fn on_view(&mut self) {
        let view = self.parts.view.borrow_and_update().clone();
        let Some(bundle) = &view.config else { return };
        let now = self.parts.timer.now();
        let mut actions = Vec::new();
        let ranked_for = (bundle.stamp, view.gate_data_centres());
        if self.ranked_for.as_ref() != Some(&ranked_for) {
            let ranks = self.ranks(bundle, &ranked_for.1);
            self.ranked_for = Some(ranked_for);
            actions = self.reconfigure(&view, ranks);
        }
        for server in &view.leaving {
            actions.extend(self.gate.on_leaving(server, now));
        }
        self.act(actions);
    }

    fn reconfigure(&mut self, view: &View, ranks: HashMap<Name, Rank>) -> Vec<Action> {
        let servers = &view.set.servers;
        let is_same = |name: &Name, client: &backend::Client| {
            servers.get(name).is_some_and(|it| it.address == client.address())
        };
        self.clients.retain(|name, client| is_same(name, client));
        self.gate.reconfigure(view.set.clone(), ranks, self.parts.timer.now())
    }

    fn ranks(&self, bundle: &Bundle, gates: &BTreeMap<Name, Name>) -> HashMap<Name, Rank> {
        if let Placement::Direct { vms } = self.parts.placement {
            let shared = |it: &Name| (it.clone(), Rank::Shared(vms));
            return bundle.set.servers.keys().map(shared).collect();
        }
        let mut by_block = HashMap::new();
        let mut ranks = HashMap::new();
        for (server, block) in Block::all(&bundle.set) {
            let ranked = by_block
                .entry(block)
                .or_insert_with_key(|it| place::gates(it, gates, RANKED_GATES as usize));
            match ranked.iter().position(|it| *it == self.parts.name) {
                Some(_) if self.parts.placement == Placement::Spread => {
                    ranks.insert(server, Rank::Shared(ranked.len() as u32));
                }
                Some(0) => drop(ranks.insert(server, Rank::Primary)),
                Some(_) => drop(ranks.insert(server, Rank::Standby)),
                None => {}
            }
        }
        ranks
    }

    fn poll_health(&mut self) {
        for server in self.gate.servers_to_poll() {
            self.ask_health(&server, false);
        }
    }

    fn ask_health(&mut self, server: &Name, over_new_connection: bool) {
        let Some(client) = self.client(server) else { return };
        let requested_at = self.parts.timer.now();
        let server = server.clone();
        let outbox = self.outbox.clone();
        tokio::spawn(async move {
            let health =
                if over_new_connection { client.probe().await } else { client.poll().await };
            let _ = outbox.send(Message::Health(server, requested_at, health.ok()));
        });
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(task) => self.send(task),
                Action::Finish(task, outcome, hint) => self.finish(task, outcome, hint),
                Action::Cancel(task) => self.cancel_at_server(task),
                Action::Close(task) => self.close(task),
                Action::Probe(server) => self.ask_health(&server, true),
                Action::CloseIdle(server) => {
                    if let Some(client) = self.clients.get_mut(&server) {
                        client.close_idle();
                    }
                }
            }
        }
    }

    fn send(&mut self, task: u64) {
        let now = self.parts.timer.now();
        let Some(server) = self.jobs.get(&task).map(|it| it.server.clone()) else { return };
        let Some(client) = self.client(&server) else { return };
        let boot = self.boots.get(&server).copied();
        let Some(job) = self.jobs.get_mut(&task) else { return };
        let request = backend::Request {
            id: job.request_id(),
            shard: job.shard.clone(),
            snapshot: job.call.snapshot,
            class: job.call.class,
            budget: now.until(job.call.deadline),
            query: job.call.query.clone(),
            trace: None,
        };
        let parent = job.call.trace.as_deref();
        let mut span = self.parts.tracer.start("gate to server", SpanKind::Client, parent);
        span.set("server", server.to_string());
        span.set("waited_micros", now.since(job.offered).as_micros() as i64);
        let request = backend::Request { trace: span.context(), ..request };
        let outbox = self.outbox.clone();
        let exchange = tokio::spawn(async move {
            let mut completion = client.search(request).await;
            span.set("outcome", metrics::label(&completion.outcome));
            drop(span);
            if matches!(completion.outcome, Outcome::Failed(Failure::Broken)) {
                completion = confirm_crash(&client, boot, completion).await;
            }
            let _ = outbox.send(Message::Completed(task, completion));
        });
        job.exchange = Some(exchange.abort_handle());
    }

    fn finish(&mut self, task: u64, outcome: Outcome, hint: Hint) {
        let Some(job) = self.jobs.get_mut(&task) else { return };
        job.finished = true;
        self.parts.metrics.on_task(&outcome);
        let item = wire::Item { attempt: job.attempt, outcome, hint };
        // The send fails if the entry has disconnected; then the item is not needed.
        let _ = job.call.items.send(item);
        if job.exchange.is_none() {
            self.remove_task(task);
        }
    }

    fn cancel_at_server(&mut self, task: u64) {
        let Some(job) = self.jobs.get(&task) else { return };
        let id = job.request_id();
        let server = job.server.clone();
        let Some(client) = self.client(&server) else { return };
        tokio::spawn(async move { client.cancel(&id).await });
    }

    fn close(&mut self, task: u64) {
        let Some(job) = self.jobs.get_mut(&task) else { return };
        if let Some(exchange) = job.exchange.take() {
            exchange.abort();
        }
        if job.finished {
            self.remove_task(task);
        }
    }

    fn remove_task(&mut self, task: u64) {
        let Some(job) = self.jobs.remove(&task) else { return };
        let call = job.call.id;
        let Some(tasks) = self.calls.get_mut(&call) else { return };
        tasks.remove(&task);
        if tasks.is_empty() {
            self.calls.remove(&call);
        }
    }

    fn client(&mut self, server: &Name) -> Option<backend::Client> {
        if let Some(client) = self.clients.get(server) {
            return Some(client.clone());
        }
        let set = self.parts.view.borrow().set.clone();
        let address = set.servers.get(server)?.address;
        let service = set.services.get(&set.servers.get(server)?.service)?;
        let share = (service.connections / RANKED_GATES).max(1);
        let idle = share.min(service.slots) as usize;
        let client = backend::Client::new(address, idle);
        self.clients.insert(server.clone(), client.clone());
        Some(client)
    }
}

/// Checks whether a server crashed after its connection broke: it is unreachable, or it has
/// restarted since.
async fn confirm_crash(
    client: &backend::Client,
    boot: Option<u64>,
    completion: Completion,
) -> Completion {
    let crashed = match client.probe().await {
        Ok(health) => {
            boot.is_some_and(|it| it != health.server.boot)
                || health.server.condition == gate::Condition::Cold
        }
        Err(_) => true,
    };
    if !crashed {
        return completion;
    }
    Completion { outcome: Outcome::Failed(Failure::Crashed), report: None }
}
