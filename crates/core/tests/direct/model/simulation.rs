use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use mimosabridge::{
    balance::Settings,
    directory::Entry,
    feed::{Fact, Position, Snapshot},
    name::Name,
    plan::Rule,
    scatter::{Action, Attempt, End, Run, Verdict},
    time::Time,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{Server, Tally};
use crate::fixture::{self, Node};

/// The names of the data centres.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// How often a node reports its observations of servers to other nodes.
const REPORT_PERIOD: Duration = Duration::from_millis(400);

/// The one-way network delay between a node and a server.
const NETWORK_DELAY: Duration = Duration::from_micros(400);

/// The average time that a server works on a request.
const WORK: Duration = Duration::from_millis(28);

/// The factor on the work of one request in a hundred.
const TAIL_FACTOR: f64 = 5.0;

/// A simulation of nodes that share servers, with callers at a steady rate.
pub struct Simulation {
    pub servers: BTreeMap<Name, Server>,
    nodes: Vec<Node>,
    rule: Rule,
    rng: SmallRng,
    /// Separate from `rng`, so that simulations with the same seed have the same arrivals whatever
    /// their nodes do.
    arrivals: SmallRng,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    runs: HashMap<usize, (usize, Run, Time)>,
    finished: HashSet<usize>,
    /// Whether the nodes of a data centre send one another reports about servers.
    pub shares_reports: bool,
    /// Whether the nodes grant servers the rest that these ask for.
    pub grants_rests: bool,
    /// The rests that servers ask for in answers under way.
    rests: HashMap<(usize, usize), (Arc<Entry>, Duration)>,
    number: u64,
    now: Time,
    tally: Tally,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize, usize),
    End(usize, usize, u8),
    Timer(usize),
    Report(usize),
}

impl Simulation {
    /// Creates a simulation of `count` nodes and a rule over ten shards of three servers each.
    pub fn new(count: usize, seed: u64, configure: impl Fn(&mut Settings)) -> Simulation {
        let rule = fixture::gather(10, 0.89);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut entries = Vec::new();
        let mut servers = BTreeMap::new();
        for shard in 0..10_u16 {
            for replica in 0..3_u16 {
                let data_centre = DATA_CENTRES[usize::from(replica)];
                let entry = fixture::entry(shard * 3 + replica, &format!("s{shard}"), data_centre);
                let mut server = Server::new(6);
                let first = Duration::from_millis(rng.random_range(0..6_000));
                let pause = Duration::from_millis(250);
                server.pause = Some((pause, Duration::from_secs(6), first));
                servers.insert(entry.id.clone(), server);
                entries.push(entry);
            }
        }
        let services: Vec<_> = (0..10).map(|it| fixture::service(&format!("s{it}"), 0.0)).collect();
        let node = |number: usize| {
            let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
            let mut settings =
                Settings { data_centre: Name::new(data_centre), ..fixture::settings() };
            configure(&mut settings);
            let mut node = Node::new(vec![rule.clone()], services.clone(), Vec::new());
            node.balancer = mimosabridge::balance::Balancer::new(settings, number as u64);
            node.balancer.set_nodes(count as u32);
            let snapshot = Snapshot {
                position: Position::new(0, 11),
                facts: entries.iter().cloned().map(Fact::Server).collect(),
            };
            node.mirror.replace(snapshot, &mut node.balancer, fixture::at(0));
            node
        };
        Simulation {
            servers,
            nodes: (0..count).map(node).collect(),
            rule,
            rng,
            arrivals: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            runs: HashMap::new(),
            finished: HashSet::new(),
            shares_reports: true,
            grants_rests: true,
            rests: HashMap::new(),
            number: 0,
            now: fixture::at(0),
            tally: Tally::default(),
        }
    }

    /// Returns the servers of a data centre.
    pub fn servers_in(&mut self, data_centre: &str) -> impl Iterator<Item = &mut Server> {
        let index = DATA_CENTRES.iter().position(|it| *it == data_centre);
        let index = index.expect("the data centre exists") as u16;
        let name = |it: u16| fixture::entry(it, "", "").id;
        let names: HashSet<_> = (0..10).map(|shard| name(shard * 3 + index)).collect();
        self.servers.iter_mut().filter(move |it| names.contains(it.0)).map(|it| it.1)
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Simulates callers that send `per_second` requests per second for `length`. Returns the
    /// outcomes.
    pub fn run(&mut self, per_second: f64, length: Duration) -> Tally {
        self.tally = Tally::default();
        let begin = self.now;
        let mut time = begin;
        let mut id = self.number as usize;
        while time < begin + length {
            let gap = -self.arrivals.random::<f64>().max(1e-9).ln() / per_second;
            time = time + Duration::from_secs_f64(gap);
            id += 1;
            self.push(time, Event::Arrive(id, id % self.nodes.len()));
        }
        self.play(begin, length)
    }

    /// Simulates callers that arrive after these times, each at the node with this index. Returns the
    /// outcomes.
    pub fn replay(&mut self, arrivals: &[(Duration, usize)]) -> Tally {
        self.tally = Tally::default();
        let begin = self.now;
        let first = self.number as usize + 1;
        for (id, (after, node)) in (first..).zip(arrivals) {
            self.push(begin + *after, Event::Arrive(id, *node));
        }
        let length = arrivals.iter().map(|it| it.0).max().unwrap_or_default();
        self.play(begin, length)
    }

    fn play(&mut self, begin: Time, length: Duration) -> Tally {
        for index in 0..self.nodes.len() {
            let periods = length.as_millis() / REPORT_PERIOD.as_millis();
            let offset = self.arrivals.random_range(Duration::ZERO..REPORT_PERIOD);
            for period in 0..periods as u32 {
                self.push(begin + offset + REPORT_PERIOD * period, Event::Report(index));
            }
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            self.step(now, event);
        }
        self.tally
    }

    fn step(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive(id, index) => {
                let node = &mut self.nodes[index];
                let rule = node.rule("all");
                let timeout = self.rule.timeout;
                let mut run = Run::new(rule, timeout, &mut node.context(now));
                let actions = run.start(&mut node.context(now));
                self.tally.requests += 1;
                self.runs.insert(id, (index, run, now));
                self.act(id, actions, now);
            }
            Event::End(id, attempt, end) => {
                let Some((index, run, _)) = self.runs.get_mut(&id) else { return };
                let ends = [End::Served, End::Shed, End::Unsent, End::Resting];
                let node = &mut self.nodes[*index];
                if let Some((server, rest)) = self.rests.remove(&(id, attempt)) {
                    node.balancer.on_resting(&server, rest, now);
                }
                let actions = run.on_end(attempt, ends[usize::from(end)], &mut node.context(now));
                self.act(id, actions, now);
            }
            Event::Report(_) if !self.shares_reports => {}
            Event::Report(index) => {
                let samples = self.nodes[index].balancer.report(now);
                let near = self
                    .nodes
                    .iter_mut()
                    .skip(index % DATA_CENTRES.len())
                    .step_by(DATA_CENTRES.len());
                for node in near {
                    node.balancer.on_report(&samples, now);
                }
            }
            Event::Timer(id) if self.finished.contains(&id) => {}
            Event::Timer(id) => {
                let Some((index, run, _)) = self.runs.get_mut(&id) else { return };
                let actions = run.on_timer(&mut self.nodes[*index].context(now));
                self.act(id, actions, now);
            }
        }
    }

    fn act(&mut self, id: usize, actions: Vec<Action>, now: Time) {
        for action in actions {
            match action {
                Action::Send(attempt) => self.send(id, &attempt, now),
                Action::Finish(verdict) => self.finish(id, &verdict, now),
            }
        }
        if self.finished.contains(&id) {
            return;
        }
        let (_, run, _) = &self.runs[&id];
        let next = run.next_timer(now).max(now + Duration::from_micros(100));
        self.push(next, Event::Timer(id));
    }

    fn send(&mut self, id: usize, attempt: &Attempt, now: Time) {
        let (_, run, _) = &self.runs[&id];
        let is_extra = run.sends() > 10 && attempt.number >= 10;
        let server = self.servers.get_mut(&attempt.server.id).expect("the server exists");
        if server.is_down {
            self.push(now + NETWORK_DELAY, Event::End(id, attempt.number, 2));
            return;
        }
        self.tally.extras += usize::from(is_extra);
        if now < server.rests_until {
            self.tally.unwanted += 1;
            if self.grants_rests {
                let rest = now.until(server.rests_until);
                self.rests.insert((id, attempt.number), (attempt.server.clone(), rest));
            }
            let end = if self.grants_rests { 3 } else { 1 };
            self.push(now + NETWORK_DELAY * 2, Event::End(id, attempt.number, end));
            return;
        }
        if self.rng.random::<f64>() < server.shed {
            self.push(now + NETWORK_DELAY * 2, Event::End(id, attempt.number, 1));
            return;
        }
        let tail = if self.rng.random::<f64>() < 0.01 { TAIL_FACTOR } else { 1.0 };
        let work = WORK.mul_f64(self.rng.random_range(0.6..1.4) * tail);
        let end = server.run(work, now + NETWORK_DELAY) + NETWORK_DELAY;
        self.push(end, Event::End(id, attempt.number, 0));
    }

    fn finish(&mut self, id: usize, verdict: &Verdict, now: Time) {
        self.finished.insert(id);
        let (_, _, began) = &self.runs[&id];
        let in_time = now.since(*began) <= self.rule.objective;
        match verdict {
            Verdict::Merge { attempts, missing } if in_time => {
                let share = attempts.len() as f64 / (attempts.len() + missing) as f64;
                self.tally.credit += share * share;
            }
            Verdict::Merge { .. } | Verdict::Pass(_) => self.tally.late += 1,
            Verdict::Refuse(_) => self.tally.refused += 1,
            Verdict::Fail(_) => self.tally.failed += 1,
        }
    }

    fn push(&mut self, time: Time, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time, self.number, event)));
    }
}
