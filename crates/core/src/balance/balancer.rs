use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{
    Baseline, Observation, Purpose, Sample, Server, Settings,
    cost::{admits, cost},
    servers::Servers,
};
use crate::{
    directory::{Change, Directory, Entry},
    name::Name,
    plan::{Plan, Rule, Share},
    recent::Recent,
    retry::{Allowance, MAX_LATENCIES, Window},
    time::Time,
};

/// The share of the connections of a server that the known nodes use. The rest is for nodes that
/// are not known yet.
const CONNECTION_SHARE: f64 = 0.85;

/// How long a server counts as slow or failing after the reports of the nodes show it, unless later
/// reports change it. Each node varies it at random.
const HOLD: Duration = Duration::from_secs(3);

/// The most servers in one report to other nodes: as many as fit in a packet.
const MAX_SAMPLES: usize = 36;

/// The greatest random share added to a cost, so that nodes do not all choose the same server.
const JITTER: f64 = 0.1;

/// Chooses a server for each request, and keeps the observations on which the choice depends.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) nodes: u32,
    pub(super) directory: Directory,
    pub(super) servers: Servers,
    /// The names of the servers by their hashes, which reports carry.
    pub(super) keys: HashMap<u32, Name>,
    baselines: Recent<Baseline>,
    windows: HashMap<Name, Window>,
    splits: HashMap<Name, Vec<f64>>,
    /// How many requests wait for a connection to a server of each service.
    pub(super) waiting: HashMap<Name, usize>,
    pub(super) closed: HashSet<Name>,
    /// Servers that must get no requests although their entries allow it, with their start.
    pub(super) retired: HashMap<Name, u64>,
    /// The servers whose limits have ended, as this node observed, since the last report.
    pub(super) unlimited: Vec<u32>,
    pub(super) rng: SmallRng,
}

impl Balancer {
    /// Creates a balancer that knows no server.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        Balancer {
            nodes: settings.assumed_nodes.max(1),
            directory: Directory::new().with_write_interval(settings.write_interval),
            settings,
            servers: Servers::default(),
            keys: HashMap::new(),
            baselines: Recent::new(MAX_LATENCIES),
            windows: HashMap::new(),
            splits: HashMap::new(),
            waiting: HashMap::new(),
            closed: HashSet::new(),
            retired: HashMap::new(),
            unlimited: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the known servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the known servers for changes.
    pub fn directory_mut(&mut self) -> &mut Directory {
        &mut self.directory
    }

    /// Sets the number of nodes that share the servers, at least one.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Returns the number of nodes that share the servers.
    pub fn nodes(&self) -> u32 {
        self.nodes
    }

    /// Drops what is known of rules and services that a new version of the configuration no longer has. What was
    /// spent lately on a service still counts.
    pub fn on_plan(&mut self, plan: &Plan, now: Time) {
        let rules: HashSet<_> = plan.rules().collect();
        self.baselines.retain(|it| rules.contains(it));
        self.splits.retain(|it, _| rules.contains(it));
        self.windows.retain(|it, window| plan.service(it).is_some() || !window.is_empty(now));
        self.waiting.retain(|it, count| plan.service(it).is_some() || *count > 0);
    }

    /// Records a change of the directory.
    pub fn on_change(&mut self, change: &Change, now: Time) {
        match change {
            Change::Added(id) | Change::Restarted(id) => {
                if let Some(entry) = self.directory.get(id) {
                    self.servers.list(entry);
                }
                self.keys.insert(id.key(), id.clone());
                self.on_cold(id, now);
            }
            Change::Removed(id) => {
                self.servers.unlist(id);
                self.keys.remove(&id.key());
            }
            // The entry may be that of a new start.
            Change::Held { id, .. } => self.set_cold(id, self.directory.held_cold(id), now),
            Change::Cold(id) | Change::Returned(id) => self.on_cold(id, now),
            Change::Draining(_) | Change::Lapsed(_) => {}
        }
    }

    /// Records that this node reaches the servers again. That it did not reach them says nothing
    /// about them.
    pub fn on_regained(&mut self) {
        self.servers.iter_mut().for_each(|it| it.1.forget_failures());
    }

    /// Returns the servers with an overdue request that have not answered since it was sent.
    pub fn stalled(&self, now: Time) -> impl Iterator<Item = &Name> {
        self.servers.iter().filter(move |it| it.1.is_stalled(now)).map(|it| it.0)
    }

    /// Makes a server count as cold for as long as its directory entry says.
    fn on_cold(&mut self, id: &Name, now: Time) {
        self.set_cold(id, self.directory.get(id).map(|it| it.cold), now);
    }

    fn set_cold(&mut self, id: &Name, cold: Option<Duration>, now: Time) {
        let Some(cold) = cold.filter(|it| !it.is_zero()) else { return };
        if let Some(server) = self.servers.get_mut(id) {
            server.set_cold(cold, now);
        }
    }

    /// Records a request of a caller for a service.
    pub fn on_request(&mut self, service: &Name, now: Time) {
        self.window(service).on_request(now);
    }

    /// Chooses the server of the least cost for a request, but none of `tried`, and a leaving one
    /// only if no other may get it: for a hedge none, as another server has the request already.
    /// Returns `None` if no server may get it.
    pub fn pick(
        &mut self,
        service: &Name,
        rule: &Rule,
        plan: &Plan,
        tried: &[Name],
        purpose: Purpose,
        now: Time,
    ) -> Option<Arc<Entry>> {
        let usual = self.usual_latency(rule);
        let max = self.max_connections(service, plan);
        let cold_share = plan.service(service).and_then(|it| self.cold_share(it.cold_rate));
        let mut best: Option<((bool, f64), Arc<Entry>)> = None;
        let entries: Vec<_> = self.candidates(service, now).cloned().collect();
        for entry in entries {
            if tried.contains(&entry.id) {
                continue;
            }
            let is_leaving = self.is_leaving(&entry);
            if is_leaving && purpose == Purpose::Hedge {
                continue;
            }
            let room = self.room(&entry, max, now);
            let server = self.servers.list(&entry);
            let has_room = server.running() < room && server.has_credit(purpose, self.nodes, now);
            if server.is_down(now) || !has_room {
                continue;
            }
            let is_cold = server.is_cold(now);
            if is_cold && !admits(server, cold_share, purpose, now) {
                continue;
            }
            let is_near = entry.data_centre == self.settings.data_centre;
            let jitter = 1.0 + JITTER * self.rng.random::<f64>();
            let cost = cost(server, usual, is_near, is_cold, now) * jitter;
            let rank = (is_leaving, cost);
            if best.as_ref().is_none_or(|it| rank < it.0) {
                best = Some((rank, entry));
            }
        }
        best.map(|it| it.1)
    }

    /// Chooses the service of the next request of a traffic split by smooth weighted round robin.
    pub fn pick_service(&mut self, rule: &Name, shares: &[Share]) -> Option<Name> {
        let total: f64 = shares.iter().map(|it| it.weight).sum();
        let credits = self.splits.entry(rule.clone()).or_default();
        credits.resize(shares.len(), 0.0);
        for (credit, share) in credits.iter_mut().zip(shares) {
            *credit += share.weight;
        }
        let next = (0..shares.len()).max_by(|a, b| credits[*a].total_cmp(&credits[*b]))?;
        credits[next] -= total;
        Some(shares[next].service.clone())
    }

    /// Spends retry budget of a service on one extra request. Returns whether enough was left.
    pub fn spend(&mut self, service: &Name, is_hedge: bool, now: Time) -> bool {
        let allowance = self.allowance();
        let window = self.window(service);
        if is_hedge {
            window.spend_hedge(&allowance, now)
        } else {
            window.spend_retry(&allowance, now)
        }
    }

    /// Returns how many hedges this node may send to a service now.
    pub fn hedges_left(&mut self, service: &Name, now: Time) -> f64 {
        let allowance = self.allowance();
        self.window(service).hedges_left(&allowance, now)
    }

    fn allowance(&self) -> Allowance {
        Allowance {
            ratio: self.settings.extra_ratio,
            burst: self.settings.extra_burst,
            nodes: self.nodes,
        }
    }

    /// Records that a request is sent to a server.
    pub fn on_sent(&mut self, id: &Name, rule: &Rule, now: Time) {
        let usual = self.usual_latency(rule);
        let Some(server) = self.servers.get_mut(id) else { return };
        let expected = usual.mul_f64(server.slowness(now).max(1.0));
        server.on_sent(expected, self.nodes, now);
    }

    /// Records the end of a request that was sent at `sent`. A server that can be reached again
    /// counts as cold for `warm_up`.
    pub fn on_end(
        &mut self,
        id: &Name,
        rule: &Rule,
        sent: Time,
        observation: Observation,
        warm_up: Duration,
        now: Time,
    ) {
        let usual = self.usual_latency(rule);
        let latency = now.since(sent);
        let slowness = latency.as_secs_f64() / usual.as_secs_f64().max(f64::MIN_POSITIVE);
        if observation == Observation::Served {
            self.baseline(rule).record(latency, now);
        }
        if let Some(server) = self.servers.get_mut(id) {
            server.on_end(sent, observation, slowness, warm_up, now);
        }
    }

    /// Takes the observations since the last call, and returns those that other nodes need, the
    /// worst first.
    pub fn report(&mut self, now: Time) -> Vec<Sample> {
        let reports = self.servers.iter_mut().filter_map(|(id, server)| {
            let tally = server.report(now)?;
            Some(Sample { server: id.key(), tally })
        });
        let mut samples: Vec<_> = reports.collect();
        samples.sort_by_key(|it| std::cmp::Reverse(it.tally.failures.max(it.tally.slow)));
        samples.truncate(MAX_SAMPLES);
        samples
    }

    /// Adds the report of a node, possibly of this one. Returns the servers that newly count as
    /// slow or failing.
    pub fn on_report(&mut self, samples: &[Sample], now: Time) -> Vec<Name> {
        let mut suspects = Vec::new();
        for sample in samples {
            // The sender may know a server that this node does not know yet.
            let Some(id) = self.keys.get(&sample.server) else { continue };
            let Some(server) = self.servers.get_mut(id) else { continue };
            // A slow server would be overloaded if all nodes tried it again at once.
            let hold = HOLD.mul_f64(0.7 + 0.6 * self.rng.random::<f64>());
            if server.on_tally(sample.tally, hold, now) {
                suspects.push(id.clone());
            }
        }
        suspects
    }

    /// Returns how long to wait for an answer before a hedge is sent to another server.
    pub fn hedge_delay(&mut self, rule: &Rule) -> Duration {
        self.baseline(rule).hedge_delay()
    }

    /// Returns the usual latency of the requests of a rule.
    pub fn usual_latency(&mut self, rule: &Rule) -> Duration {
        self.baseline(rule).usual_latency()
    }

    /// Returns how long a request of a rule may take, as [`Baseline::longest_latency`] does.
    pub fn longest_latency(&mut self, rule: &Rule, now: Time) -> Duration {
        self.baseline(rule).longest_latency(now)
    }

    /// Returns the state of a server, or `None` if it is unknown.
    pub fn server(&self, id: &Name) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the servers of a service that may get requests now.
    pub(super) fn candidates(
        &self,
        service: &Name,
        now: Time,
    ) -> impl Iterator<Item = &Arc<Entry>> {
        self.remaining(service, now).filter(move |it| !self.is_resting(it, now))
    }

    /// Returns the servers of a service that may get requests now or after a rest.
    pub(super) fn remaining(&self, service: &Name, now: Time) -> impl Iterator<Item = &Arc<Entry>> {
        let servers = self.directory.by_service(service);
        servers.filter(move |it| self.may_receive(it) && !self.has_left(it, now))
    }

    /// Returns how many connections this node may have to one server of a service.
    pub(super) fn max_connections(&self, service: &Name, plan: &Plan) -> usize {
        let all = plan.service(service).map_or(1, |it| it.connections);
        let share = f64::from(all) * CONNECTION_SHARE / f64::from(self.nodes);
        (share as usize).max(1)
    }

    /// Returns the requests per second that this node may send to a cold server, or `None` if the
    /// rate is not limited.
    fn cold_share(&self, rate: f64) -> Option<f64> {
        if rate <= 0.0 {
            return None;
        }
        let all = rate * self.settings.cold_factor + self.settings.cold_slack;
        Some(all / f64::from(self.nodes))
    }

    fn window(&mut self, service: &Name) -> &mut Window {
        let rng = &mut self.rng;
        let new = || Window::new().with_rounding(rng.random());
        self.windows.entry(service.clone()).or_insert_with(new)
    }

    fn baseline(&mut self, rule: &Rule) -> &mut Baseline {
        let new = || Baseline::new(rule.objective);
        self.baselines.get_or_insert_with(&rule.name, new)
    }
}
