//! Simulates a few queries in virtual time, with fake gates and servers and injected faults.

mod fault;
mod fixture;
mod gate;
mod server;
mod step;
mod verify;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use mimosabridge::{
    config::{Class, Set},
    gate::{Action as GateAction, Completion, Condition, Report, Task},
    name::Name,
    outcome::{Failure, Hint, Outcome, Refusal},
    query::{Action, Attempt, Ending, Plan, Run, Target},
    retry::Budget,
    route::Table,
    snapshot::Holdings,
    time::Time,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub use self::{fault::Fault, fixture::config, step::Step};
use self::{gate::FakeGate, server::FakeServer};

/// The version of the index that queries are pinned to.
pub const VERSION: u64 = 7;

/// The deadline of the queries.
pub const DEADLINE: Time = Time::from_millis(400);

/// The number of queries.
const QUERIES: usize = 12;

/// The number of the query that triggers the faults, once earlier queries are running.
const FAULTY: usize = 6;

/// How long a message may still arrive after its sender was informed that it should not be sent.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(2);

const TASKS_PER_QUERY: u64 = 1_000;
const TICK: Duration = Duration::from_millis(10);
const HEDGE_AFTER: Duration = Duration::from_millis(40);
const BUDGET: u32 = 20;

/// Several queries in a small fleet, with faults to inject.
pub struct Simulation {
    pub now: Time,
    pub idempotent: bool,
    pub faults: Vec<(Fault, Step)>,
    pub servers: BTreeMap<Name, FakeServer>,
    pub gates: BTreeMap<Name, FakeGate>,
    pub queries: Vec<Query>,
    set: Arc<Set>,
    table: Table,
    rng: StdRng,
    budget: Budget,
    attempts: HashMap<u64, Attempt>,
    /// When each task was offered to its gate.
    offered: HashMap<u64, Time>,
    /// When the gate sent each task to its server.
    sent: HashMap<u64, Time>,
    entry_paused_until: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
}

/// One query.
pub struct Query {
    pub ending: Option<Ending>,
    pub ended_at: Option<Time>,
    pub cancelled: bool,
    run: Run,
}

/// A scheduled event. The number of a task combines those of its query and of its attempt.
#[derive(Clone, Debug)]
enum Event {
    Start(usize),
    Call(u64),
    CancelAtGate(u64),
    ReachServer(Name, u64),
    ServerDone(Name, Name, u64),
    Complete(Name, u64, Box<Completion>),
    Item(u64, Box<Outcome>, Option<Hint>),
    Tick,
    Health(Name, Time),
    Timer(usize),
    Release(Name),
}

impl Simulation {
    /// Creates queries over three shards with two replicas each, and the faults to inject.
    pub fn new(seed: u64, idempotent: bool, faults: Vec<(Fault, Step)>) -> Simulation {
        let set = Arc::new(config());
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = Table::new(Name::from("a"));
        table.reconfigure(set.clone());
        let data_centres: BTreeMap<_, _> = fixture::GATES
            .iter()
            .map(|(gate, data_centre)| (Name::from(*gate), Name::from(*data_centre)))
            .collect();
        table.set_gates(data_centres.clone());
        let rule = &set.rules["rule"];
        let snapshot = &set.snapshots["s7"];
        let queries = (0..QUERIES)
            .map(|_| {
                let holdings = Holdings::new();
                let targets = table.targets(rule, snapshot, &holdings, Time::ZERO, &mut rng);
                Query::new(targets, idempotent)
            })
            .collect();
        let servers = set.servers.keys().map(|it| (it.clone(), FakeServer::new())).collect();
        let gates = data_centres
            .keys()
            .map(|it| (it.clone(), FakeGate::new(it, set.clone(), &data_centres)))
            .collect();
        Simulation {
            now: Time::from_millis(1),
            idempotent,
            faults,
            servers,
            gates,
            queries,
            set,
            table,
            rng,
            budget: Budget::new(10, BUDGET),
            attempts: HashMap::new(),
            offered: HashMap::new(),
            sent: HashMap::new(),
            entry_paused_until: Time::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
        }
    }

    /// Replaces the budget of the queries for retries and hedges.
    pub fn with_budget(mut self, tokens: u32) -> Simulation {
        self.budget = Budget::new(10, tokens);
        self
    }

    /// Runs until two seconds after the deadline, when every query must have ended.
    pub fn run(&mut self) {
        self.after(TICK, Event::Tick);
        for query in 0..QUERIES {
            let wait = self.delay() * query as u32 / 4;
            self.after(wait, Event::Start(query));
        }
        let end = DEADLINE + Duration::from_secs(2);
        while let Some(Reverse((time, id))) = self.queue.pop() {
            if time > end {
                return;
            }
            self.now = time;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(query) => self.on_start(query),
            Event::Call(task) => self.on_call(task),
            Event::CancelAtGate(task) => self.on_cancel(task),
            Event::ReachServer(gate, task) => self.on_reach_server(gate, task),
            Event::ServerDone(gate, server, task) => self.on_server_done(gate, server, task),
            Event::Complete(gate, task, completion) => self.on_complete(gate, task, *completion),
            Event::Item(task, outcome, hint) => self.on_item(task, *outcome, hint),
            Event::Tick => self.on_tick(),
            Event::Health(server, asked) => self.on_health(&server, asked),
            Event::Timer(query) => self.on_timer(query),
            Event::Release(gate) => self.on_release(&gate),
        }
    }

    fn on_start(&mut self, query: usize) {
        if self.defer_entry(Event::Start(query)) {
            return;
        }
        let actions = self.queries[query].run.start(self.now);
        self.act(query, actions);
    }

    fn act(&mut self, query: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(attempt) => self.send(query, attempt),
                Action::Cancel(attempt) => {
                    let delay = self.delay();
                    self.after(delay, Event::CancelAtGate(task_of(query, attempt)));
                }
                Action::End(ending) => {
                    self.queries[query].ending = Some(ending);
                    self.queries[query].ended_at = Some(self.now);
                }
            }
        }
        let run = &mut self.queries[query].run;
        if !run.has_ended() {
            let wait = self.now.until(run.next_timer());
            self.after(wait, Event::Timer(query));
        }
    }

    fn send(&mut self, query: usize, attempt: Attempt) {
        let task = task_of(query, attempt.id);
        self.attempts.insert(task, attempt.clone());
        self.on_step(Step::Call, task);
        let delay = self.delay_at(Step::Call, task);
        if self.gates[&attempt.route.gate].is_down {
            self.table.on_gate_unreachable(&attempt.route.gate, self.now);
            let outcome = Outcome::Refused(Refusal::GateUnreachable);
            self.after(delay, Event::Item(task, Box::new(outcome), None));
        } else {
            self.after(delay, Event::Call(task));
        }
    }

    fn on_call(&mut self, id: u64) {
        self.on_step(Step::AtGate, id);
        let attempt = self.attempts[&id].clone();
        let gate = attempt.route.gate;
        if self.defer(&gate, Event::Call(id)) {
            return;
        }
        let task = Task {
            id,
            server: attempt.route.server,
            class: Class::Interactive,
            deadline: attempt.deadline,
        };
        let now = self.now;
        self.offered.insert(id, now);
        let actions = self.gate(&gate).gate.offer(task, now);
        self.act_gate(&gate, actions);
    }

    fn on_cancel(&mut self, task: u64) {
        let gate = self.attempts[&task].route.gate.clone();
        if self.defer(&gate, Event::CancelAtGate(task)) {
            return;
        }
        let now = self.now;
        let actions = self.gate(&gate).gate.cancel(task, now);
        self.act_gate(&gate, actions);
    }

    fn act_gate(&mut self, gate: &Name, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Send(task) => {
                    self.on_step(Step::ToServer, task);
                    self.sent.insert(task, self.now);
                    let delay = self.delay_at(Step::ToServer, task);
                    self.after(delay, Event::ReachServer(gate.clone(), task));
                }
                GateAction::Finish(task, outcome, hint) => self.finish(gate, task, outcome, hint),
                GateAction::Close(task) => self.gate(gate).close(task),
                GateAction::Probe(server) => {
                    let (asked, delay) = (self.now, self.delay());
                    self.after(delay, Event::Health(server, asked));
                }
                // The fake servers ignore cancellations, the worst case that the protocol allows.
                GateAction::Cancel(_) | GateAction::CloseIdle(_) => {}
            }
        }
    }

    fn finish(&mut self, gate: &Name, task: u64, outcome: Outcome, hint: Hint) {
        self.on_step(Step::ToEntry, task);
        if self.gates[gate].is_down {
            return;
        }
        let delay = self.delay_at(Step::ToEntry, task);
        let item = Event::Item(task, Box::new(outcome), Some(hint));
        if self.has_fault(Fault::Duplicated, Step::ToEntry) {
            self.after(delay * 2, item.clone());
        }
        self.after(delay, item);
    }

    /// Handles the arrival of a request at its server.
    fn on_reach_server(&mut self, gate: Name, task: u64) {
        if self.gate(&gate).is_closed(task) {
            return;
        }
        let attempt = self.attempts[&task].clone();
        let server = attempt.route.server;
        let (now, delay) = (self.now, self.delay());
        let time = self.service_time() * self.server(&server).latency_factor();
        match self.server(&server).start(task, &attempt.shard, &gate, now) {
            Ok(()) => {
                self.after(time, Event::ServerDone(gate, server, task));
                self.on_step(Step::Running, task);
            }
            Err(Some(it)) => self.after(delay, Event::Complete(gate, task, Box::new(it))),
            Err(None) => {}
        }
    }

    /// Handles the end of a request at its server.
    fn on_server_done(&mut self, gate: Name, server: Name, task: u64) {
        let Some(completion) = self.server(&server).finish(task) else { return };
        self.on_step(Step::FromServer, task);
        if self.server(&server).is_silent {
            return;
        }
        let delay = self.delay_at(Step::FromServer, task);
        let event = Event::Complete(gate, task, Box::new(completion));
        if self.has_fault(Fault::Duplicated, Step::FromServer) {
            self.after(delay * 2, event.clone());
        }
        self.after(delay, event);
    }

    fn on_complete(&mut self, gate: Name, task: u64, completion: Completion) {
        if self.defer(&gate, Event::Complete(gate.clone(), task, Box::new(completion.clone()))) {
            return;
        }
        if self.gate(&gate).is_closed(task) {
            return;
        }
        let now = self.now;
        let server = self.attempts[&task].route.server.clone();
        self.record_report(&gate, &server, completion.report);
        let actions = self.gate(&gate).gate.complete(task, completion, now);
        self.act_gate(&gate, actions);
    }

    fn on_item(&mut self, task: u64, outcome: Outcome, hint: Option<Hint>) {
        if self.defer_entry(Event::Item(task, Box::new(outcome.clone()), hint)) {
            return;
        }
        let (query, attempt) = (query_of(task), attempt_of(task));
        let run = &mut self.queries[query].run;
        let actions = run.on_outcome(attempt, outcome, self.now, &mut self.budget);
        self.act(query, actions);
    }

    fn on_timer(&mut self, query: usize) {
        if self.defer_entry(Event::Timer(query)) {
            return;
        }
        let run = &mut self.queries[query].run;
        if run.has_ended() || self.now < run.next_timer() {
            return;
        }
        let actions = run.on_timer(self.now, &mut self.budget);
        self.act(query, actions);
    }

    fn on_tick(&mut self) {
        self.after(TICK, Event::Tick);
        let now = self.now;
        for name in self.gate_names() {
            if !self.gates[&name].runs(now) {
                continue;
            }
            let actions = self.gate(&name).gate.tick(now);
            self.act_gate(&name, actions);
        }
    }

    fn on_health(&mut self, server: &Name, asked: Time) {
        let health = self.server(server).health(asked);
        for name in self.gate_names() {
            let now = self.now;
            if !self.gates[&name].runs(now) {
                continue;
            }
            self.record_report(&name, server, health);
            let gate = &mut self.gate(&name).gate;
            let actions = match &health {
                Some(report) => gate.on_health(server, report, asked, now),
                None => gate.on_unreachable(server, now),
            };
            self.act_gate(&name, actions);
        }
    }

    fn on_release(&mut self, gate: &Name) {
        let now = self.now;
        let actions = self.gate(gate).gate.release(now);
        self.act_gate(gate, actions);
    }

    /// Records that a gate was informed of the condition of a server.
    fn record_report(&mut self, gate: &Name, server: &Name, report: Option<Report>) {
        let Some(report) = report else { return };
        let now = self.now;
        let informed = &mut self.server(server).informed;
        if report.condition == Condition::Cold {
            informed.entry(gate.clone()).or_insert(now);
        } else {
            informed.remove(gate);
        }
    }

    /// Postpones an event while its gate is paused, and drops it if the gate is down. Returns
    /// whether it did either.
    fn defer(&mut self, gate: &Name, event: Event) -> bool {
        let fake = &self.gates[gate];
        if fake.is_down {
            return true;
        }
        if fake.runs(self.now) {
            return false;
        }
        let wait = self.now.until(fake.paused_until);
        self.after(wait, event);
        true
    }

    /// Postpones an event while the entry is paused. Returns whether it did.
    fn defer_entry(&mut self, event: Event) -> bool {
        if self.now >= self.entry_paused_until {
            return false;
        }
        let wait = self.now.until(self.entry_paused_until);
        self.after(wait, event);
        true
    }

    /// Fails the attempts that were sent to a lost gate.
    fn lose_gate(&mut self, gate: &Name) {
        self.table.on_gate_unreachable(gate, self.now);
        let of_gate = self.attempts.iter().filter(|(_, it)| it.route.gate == *gate);
        let mut lost: Vec<_> = of_gate.map(|(task, _)| *task).collect();
        lost.sort_unstable();
        for task in lost {
            let delay = self.delay();
            let outcome = Outcome::Failed(Failure::GateLost);
            self.after(delay, Event::Item(task, Box::new(outcome), None));
        }
    }

    fn after(&mut self, wait: Duration, event: Event) {
        let id = self.next_event;
        self.next_event += 1;
        self.events.insert(id, event);
        self.queue.push(Reverse((self.now + wait, id)));
    }

    fn gate(&mut self, name: &Name) -> &mut FakeGate {
        self.gates.get_mut(name).expect("the gate is in the fixture")
    }

    fn gate_names(&self) -> Vec<Name> {
        self.gates.keys().cloned().collect()
    }

    fn server(&mut self, name: &Name) -> &mut FakeServer {
        self.servers.get_mut(name).expect("the server is in the fixture")
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..2_000))
    }

    /// Returns the delay of a message, which a fault may extend beyond the deadline.
    fn delay_at(&mut self, step: Step, task: u64) -> Duration {
        let delay = self.delay();
        let is_late = self.has_fault(Fault::Delayed, step) && query_of(task) == FAULTY;
        if is_late { delay + DEADLINE.since(Time::ZERO) } else { delay }
    }

    fn service_time(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(3_000..9_000))
    }
}

impl Query {
    fn new(targets: Vec<Target>, idempotent: bool) -> Query {
        let plan = Plan {
            snapshot: VERSION,
            targets,
            deadline: DEADLINE,
            idempotent,
            hedge_after: HEDGE_AFTER,
            canaries: 0,
            crashed: Vec::new(),
            may_restart: true,
        };
        Query { ending: None, ended_at: None, cancelled: false, run: Run::new(plan) }
    }
}

fn task_of(query: usize, attempt: u32) -> u64 {
    query as u64 * TASKS_PER_QUERY + u64::from(attempt)
}

fn query_of(task: u64) -> usize {
    (task / TASKS_PER_QUERY) as usize
}

fn attempt_of(task: u64) -> u32 {
    (task % TASKS_PER_QUERY) as u32
}
