use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use mimosabridge::{
    config::Bundle,
    gate::{self, Action, End, Gate, RANKED_GATES, Rank, Settings, Task},
    name::Name,
    outcome::{Failure, Hint, Outcome},
    place::{self, Block},
    wire,
};
use tokio::sync::{mpsc, oneshot, watch};

use super::{
    Message,
    job::{CallContext, Job},
};
use crate::{backend, fleet::View, timer};

/// How often expired tasks and silent connections are looked for.
const TICK: Duration = Duration::from_millis(20);

/// How often the servers that the gate is the primary of are asked for their health.
const HEALTH_PERIOD: Duration = Duration::from_secs(1);

/// Drives the decisions of a [`Gate`]: one task owns them and takes messages in order.
pub struct Actor {
    name: Name,
    timer: timer::Service,
    view: watch::Receiver<Arc<View>>,
    inbox: mpsc::UnboundedReceiver<Message>,
    outbox: mpsc::UnboundedSender<Message>,
    gate: Gate,
    jobs: HashMap<u64, Job>,
    calls: HashMap<u64, BTreeSet<u64>>,
    clients: HashMap<Name, backend::Client>,
    boots: HashMap<Name, u64>,
    next_task: u64,
    stopping: Option<oneshot::Sender<()>>,
}

impl Actor {
    /// Starts the actor of the gate called `name` and returns where to send it messages.
    pub fn start(
        name: Name,
        settings: Settings,
        timer: timer::Service,
        view: watch::Receiver<Arc<View>>,
    ) -> mpsc::UnboundedSender<Message> {
        let (outbox, inbox) = mpsc::unbounded_channel();
        let actor = Actor {
            name,
            timer,
            view,
            inbox,
            outbox: outbox.clone(),
            gate: Gate::new(settings),
            jobs: HashMap::new(),
            calls: HashMap::new(),
            clients: HashMap::new(),
            boots: HashMap::new(),
            next_task: 0,
            stopping: None,
        };
        tokio::spawn(actor.run());
        outbox
    }

    async fn run(mut self) {
        let mut ticks = self.timer.every(TICK);
        let mut polls = self.timer.every(HEALTH_PERIOD);
        self.on_view();
        loop {
            tokio::select! {
                message = self.inbox.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                Some(_) = ticks.recv() => {
                    let actions = self.gate.tick(self.timer.now());
                    self.act(actions);
                }
                Some(_) = polls.recv() => self.poll_health(),
                Ok(()) = self.view.changed() => self.on_view(),
            }
            if self.has_stopped() {
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

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Call(call, items) => self.on_call(call, items),
            Message::Cancel(call, attempts) => self.on_cancel(call, &attempts),
            Message::Settled(task, end) => self.on_settled(task, end),
            Message::Health(server, asked, health) => {
                let now = self.timer.now();
                let actions = match health {
                    Some(health) => {
                        self.boots.insert(server.clone(), health.server.boot);
                        self.gate.on_health(&server, &health.server, asked, now)
                    }
                    None => self.gate.on_unreachable(&server, now),
                };
                self.act(actions);
            }
            Message::Stop(done) => {
                self.gate.stop();
                self.stopping = Some(done);
            }
        }
    }

    fn on_call(&mut self, call: wire::Call, items: mpsc::UnboundedSender<wire::Item>) {
        let now = self.timer.now();
        let context = Arc::new(CallContext {
            id: call.id,
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
                exchange: None,
                finished: false,
            };
            self.jobs.insert(id, job);
            self.calls.entry(context.id).or_default().insert(id);
            let actions = self.gate.offer(task, now);
            self.act(actions);
        }
    }

    fn on_cancel(&mut self, call: u64, attempts: &[u32]) {
        let Some(tasks) = self.calls.get(&call) else { return };
        let wanted = |it: &u64| {
            let job = self.jobs.get(it);
            job.is_some_and(|it| attempts.is_empty() || attempts.contains(&it.attempt))
        };
        let tasks: Vec<_> = tasks.iter().copied().filter(wanted).collect();
        for task in tasks {
            let actions = self.gate.cancel(task, self.timer.now());
            self.act(actions);
        }
    }

    fn on_settled(&mut self, task: u64, end: End) {
        if let (Some(job), Some(report)) = (self.jobs.get(&task), &end.report) {
            self.boots.insert(job.server.clone(), report.boot);
        }
        let actions = self.gate.settle(task, end, self.timer.now());
        if let Some(job) = self.jobs.get_mut(&task) {
            job.exchange = None;
        }
        self.act(actions);
        self.forget(task);
    }

    fn on_view(&mut self) {
        let view = self.view.borrow_and_update().clone();
        let Some(bundle) = &view.config else { return };
        let now = self.timer.now();
        let ranks = self.ranks(bundle, &view);
        self.clients.retain(|name, client| {
            bundle.set.servers.get(name).is_some_and(|it| it.address == client.address())
        });
        let mut actions = self.gate.reconfigure(Arc::new(bundle.set.clone()), ranks, now);
        for server in &view.leaving {
            actions.extend(self.gate.on_leaving(server, now));
        }
        self.act(actions);
    }

    fn ranks(&self, bundle: &Bundle, view: &View) -> HashMap<Name, Rank> {
        let gates = view.gate_places();
        let mut by_block = HashMap::new();
        let mut ranks = HashMap::new();
        for (server, block) in Block::all(&bundle.set) {
            let ranked = by_block
                .entry(block)
                .or_insert_with_key(|it| place::gates(it, &gates, RANKED_GATES as usize));
            match ranked.iter().position(|it| *it == self.name) {
                Some(0) => drop(ranks.insert(server, Rank::Primary)),
                Some(_) => drop(ranks.insert(server, Rank::Standby)),
                None => {}
            }
        }
        ranks
    }

    fn poll_health(&mut self) {
        for server in self.gate.polled() {
            self.probe(&server);
        }
    }

    fn probe(&mut self, server: &Name) {
        let Some(client) = self.client(server) else { return };
        let asked = self.timer.now();
        let server = server.clone();
        let outbox = self.outbox.clone();
        tokio::spawn(async move {
            let health = client.health().await.ok();
            let _ = outbox.send(Message::Health(server, asked, health));
        });
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(task) => self.send(task),
                Action::Finish(task, outcome, hint) => self.finish(task, outcome, hint),
                Action::Cancel(task) => self.cancel_at_server(task),
                Action::Close(task) => self.close(task),
                Action::Probe(server) => self.probe(&server),
                Action::Renew(server) => {
                    if let Some(client) = self.clients.get_mut(&server) {
                        client.renew();
                    }
                }
            }
        }
    }

    fn send(&mut self, task: u64) {
        let now = self.timer.now();
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
            trace: job.call.trace.clone(),
        };
        let outbox = self.outbox.clone();
        let exchange = tokio::spawn(async move {
            let mut end = client.search(request).await;
            if matches!(end.outcome, Outcome::Failed(Failure::Broken)) {
                end = confirm_crash(&client, boot, end).await;
            }
            let _ = outbox.send(Message::Settled(task, end));
        });
        job.exchange = Some(exchange.abort_handle());
    }

    fn finish(&mut self, task: u64, outcome: Outcome, hint: Hint) {
        let Some(job) = self.jobs.get_mut(&task) else { return };
        job.finished = true;
        let item = wire::Item { attempt: job.attempt, outcome, hint };
        // The entry may have gone; then nobody wants the item.
        let _ = job.call.items.send(item);
        if job.exchange.is_none() {
            self.forget(task);
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
            self.forget(task);
        }
    }

    fn forget(&mut self, task: u64) {
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
        let view = self.view.borrow().clone();
        let set = &view.config.as_ref()?.set;
        let address = set.servers.get(server)?.address;
        let service = set.services.get(&set.servers.get(server)?.service)?;
        let share = (service.connections / RANKED_GATES).max(1);
        let idle = share.min(service.slots) as usize;
        let client = backend::Client::new(address, idle);
        self.clients.insert(server.clone(), client.clone());
        Some(client)
    }
}

/// Finds out whether a server crashed after its connection broke: it cannot be reached, or it has
/// started again since.
async fn confirm_crash(client: &backend::Client, boot: Option<u64>, end: End) -> End {
    let crashed = match client.health().await {
        Ok(health) => {
            boot.is_some_and(|it| it != health.server.boot)
                || health.server.condition == gate::Condition::Cold
        }
        Err(_) => true,
    };
    if !crashed {
        return end;
    }
    End { outcome: Outcome::Failed(Failure::Crashed), report: None }
}
