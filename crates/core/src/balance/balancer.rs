use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{
    Outlook, Pace, Purpose, Sample, Seen, Server, Settings,
    cost::{bears, cost},
};
use crate::{
    directory::{Change, Directory, Entry},
    name::Name,
    plan::{Plan, Rule, Share},
    retry::{Allowance, Window},
    time::Time,
};

/// The part of the connections that a server accepts that nodes use. The rest is for nodes that
/// are not known yet.
const CONNECTIONS_USED: f64 = 0.85;

/// How long what nodes together saw of a server is believed, if nobody sees more.
const HOLD: Duration = Duration::from_secs(3);

/// The most servers of which a node tells the others at once: what a packet holds.
const MOST_SAMPLES: usize = 36;

/// Random part of an expected time, so that nodes do not all choose the same server.
const SPREAD: f64 = 0.1;

/// Chooses servers, and keeps what this node has seen of them.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: Settings,
    nodes: u32,
    directory: Directory,
    servers: HashMap<Name, Server>,
    /// The names of the servers, by their hashes.
    keys: HashMap<u32, Name>,
    paces: HashMap<Name, Pace>,
    windows: HashMap<Name, Window>,
    splits: HashMap<Name, Vec<f64>>,
    closed: HashSet<Name>,
    rng: SmallRng,
}

impl Balancer {
    /// Creates a balancer that knows no server.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        Balancer {
            nodes: settings.assumed_nodes.max(1),
            settings,
            directory: Directory::new(),
            servers: HashMap::new(),
            keys: HashMap::new(),
            paces: HashMap::new(),
            windows: HashMap::new(),
            splits: HashMap::new(),
            closed: HashSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the known servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Changes the known servers.
    pub fn directory_mut(&mut self) -> &mut Directory {
        &mut self.directory
    }

    /// Takes the number of nodes that share the servers.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Returns the number of nodes that share the servers.
    pub fn nodes(&self) -> u32 {
        self.nodes
    }

    /// Takes the data centres whose servers must get nothing.
    pub fn set_closed(&mut self, closed: HashSet<Name>) {
        self.closed = closed;
    }

    /// Returns the data centres whose servers must get nothing.
    pub fn closed(&self) -> &HashSet<Name> {
        &self.closed
    }

    /// Takes note of a change of the directory.
    pub fn on_change(&mut self, change: &Change, now: Time) {
        match change {
            Change::Added(id) | Change::Restarted(id) => {
                self.servers.insert(id.clone(), Server::new());
                self.keys.insert(id.key(), id.clone());
                self.on_cold(id, now);
            }
            Change::Removed(id) => {
                self.servers.remove(id);
                self.keys.remove(&id.key());
            }
            Change::Draining(_) | Change::Lapsed(_) | Change::Returned(_) => {}
        }
    }

    /// Takes what the entry of a server says of its cold start.
    pub fn on_cold(&mut self, id: &Name, now: Time) {
        let Some(cold) = self.directory.get(id).map(|it| it.cold) else { return };
        if !cold.is_zero() {
            self.servers.entry(id.clone()).or_default().set_cold(cold, now);
        }
    }

    /// Takes note of a request of a caller for a service.
    pub fn on_request(&mut self, service: &Name, now: Time) {
        self.window(service).on_request(now);
    }

    /// Returns how soon a request that comes now may be answered by some server of a service.
    /// Nothing if there is none, or none has room for this node.
    pub fn outlook(
        &mut self,
        service: &Name,
        rule: &Rule,
        plan: &Plan,
        now: Time,
    ) -> Option<Outlook> {
        let usual = self.usual(rule);
        let most = self.connections(service, plan);
        let fresh = Server::new();
        let outlook = |entry: &Arc<Entry>| {
            let server = self.servers.get(&entry.id).unwrap_or(&fresh);
            let answer = usual.mul_f64(server.slowness(now).max(0.1));
            let wait = now.until(server.down_until());
            let has_room = server.running() < most;
            has_room.then(|| Outlook { is_down: server.is_down(now), answer: wait + answer })
        };
        self.candidates(service).filter_map(outlook).min()
    }

    /// Returns when a server of a service may be tried, if all are out of reach. Nothing if the
    /// service has no server.
    pub fn served_from(&self, service: &Name) -> Option<Time> {
        let server = |it: &Arc<Entry>| self.servers.get(&it.id);
        self.candidates(service).map(|it| server(it).map_or(Time::ZERO, Server::down_until)).min()
    }

    /// Chooses a server for a request, but none of `tried`.
    pub fn pick(
        &mut self,
        service: &Name,
        rule: &Rule,
        plan: &Plan,
        tried: &[Name],
        purpose: Purpose,
        now: Time,
    ) -> Option<Arc<Entry>> {
        let usual = self.usual(rule);
        let most = self.connections(service, plan);
        let cold_share = plan.service(service).and_then(|it| self.cold_share(it.cold_rate));
        let mut best: Option<(f64, Arc<Entry>)> = None;
        let entries: Vec<_> = self.candidates(service).cloned().collect();
        for entry in entries {
            if tried.contains(&entry.id) {
                continue;
            }
            let server = self.servers.entry(entry.id.clone()).or_default();
            if server.is_down(now) || server.running() >= most {
                continue;
            }
            let is_cold = server.is_cold(now);
            if is_cold && !bears(server, cold_share, purpose, now) {
                continue;
            }
            let is_near = entry.data_centre == self.settings.data_centre;
            let spread = 1.0 + SPREAD * self.rng.random::<f64>();
            let cost = cost(server, usual, is_near, is_cold, now) * spread;
            if best.as_ref().is_none_or(|it| cost < it.0) {
                best = Some((cost, entry));
            }
        }
        best.map(|it| it.1)
    }

    /// Chooses the service of the next request of a split, so that each gets its share.
    pub fn split(&mut self, rule: &Name, shares: &[Share]) -> Option<Name> {
        let total: f64 = shares.iter().map(|it| it.weight).sum();
        let credits = self.splits.entry(rule.clone()).or_default();
        credits.resize(shares.len(), 0.0);
        for (credit, share) in credits.iter_mut().zip(shares) {
            *credit += share.weight;
        }
        let richest = (0..shares.len()).max_by(|a, b| credits[*a].total_cmp(&credits[*b]))?;
        credits[richest] -= total;
        Some(shares[richest].service.clone())
    }

    /// Pays for an extra request to a service. Returns whether there was room.
    pub fn spend(&mut self, service: &Name, is_hedge: bool, now: Time) -> bool {
        let allowance = Allowance {
            ratio: self.settings.extra_ratio,
            burst: self.settings.extra_burst,
            nodes: self.nodes,
        };
        let window = self.window(service);
        if is_hedge {
            window.spend_hedge(&allowance, now)
        } else {
            window.spend_retry(&allowance, now)
        }
    }

    /// Takes note of a request that is sent to a server.
    pub fn on_sent(&mut self, id: &Name, rule: &Rule, now: Time) {
        let usual = self.usual(rule);
        let server = self.servers.entry(id.clone()).or_default();
        let expected = usual.mul_f64(server.slowness(now).max(1.0));
        server.on_sent(expected, now);
    }

    /// Takes note of the end of a request that was sent at `sent`. A server that comes back into
    /// reach counts as cold for `warm_up`.
    pub fn on_end(
        &mut self,
        id: &Name,
        rule: &Rule,
        sent: Time,
        seen: Seen,
        warm_up: Duration,
        now: Time,
    ) {
        let usual = self.usual(rule);
        let latency = now.since(sent);
        let slowness = latency.as_secs_f64() / usual.as_secs_f64().max(f64::MIN_POSITIVE);
        if seen == Seen::Served {
            self.pace(rule).record(latency, now);
        }
        if let Some(server) = self.servers.get_mut(id) {
            server.on_end(sent, seen, slowness, warm_up, now);
        }
    }

    /// Returns what this node saw of servers since the last call that others should know, the worst
    /// first.
    pub fn report(&mut self, now: Time) -> Vec<Sample> {
        let reports = self.servers.iter_mut().filter_map(|(id, server)| {
            let tally = server.report(now)?;
            Some(Sample { server: id.key(), tally })
        });
        let mut samples: Vec<_> = reports.collect();
        samples.sort_by_key(|it| std::cmp::Reverse(it.tally.failures.max(it.tally.slow)));
        samples.truncate(MOST_SAMPLES);
        samples
    }

    /// Takes what a node saw of servers, this one included. Returns the servers that are newly
    /// believed slow or failing.
    pub fn on_report(&mut self, samples: &[Sample], now: Time) -> Vec<Name> {
        let mut suspects = Vec::new();
        for sample in samples {
            // A server may be known to the sender alone.
            let Some(id) = self.keys.get(&sample.server) else { continue };
            let Some(server) = self.servers.get_mut(id) else { continue };
            // Nodes that try a server again all at once would overrun a slow one.
            let hold = HOLD.mul_f64(0.7 + 0.6 * self.rng.random::<f64>());
            if server.on_tally(sample.tally, hold, now) {
                suspects.push(id.clone());
            }
        }
        suspects
    }

    /// Returns how long to wait for an answer before another server is asked.
    pub fn hedge(&mut self, rule: &Rule) -> Duration {
        self.pace(rule).hedge()
    }

    /// Returns the usual latency of the requests of a rule.
    pub fn usual(&mut self, rule: &Rule) -> Duration {
        self.pace(rule).usual()
    }

    /// Returns what this node has seen of a server.
    pub fn server(&self, id: &Name) -> Option<&Server> {
        self.servers.get(id)
    }

    fn candidates(&self, service: &Name) -> impl Iterator<Item = &Arc<Entry>> {
        let is_open = |it: &&Arc<Entry>| !it.is_draining && !self.closed.contains(&it.data_centre);
        self.directory.by_service(service).filter(is_open)
    }

    /// Returns how many connections this node may have to one server of a service.
    fn connections(&self, service: &Name, plan: &Plan) -> usize {
        let all = plan.service(service).map_or(1, |it| it.connections);
        let share = f64::from(all) * CONNECTIONS_USED / f64::from(self.nodes);
        (share as usize).max(1)
    }

    /// Returns the requests per second that this node may send to a cold server, if it is bound.
    fn cold_share(&self, rate: f64) -> Option<f64> {
        if rate <= 0.0 {
            return None;
        }
        let all = rate * self.settings.cold_factor + self.settings.cold_slack;
        Some(all / f64::from(self.nodes))
    }

    fn window(&mut self, service: &Name) -> &mut Window {
        self.windows.entry(service.clone()).or_default()
    }

    fn pace(&mut self, rule: &Rule) -> &mut Pace {
        let new = || Pace::new(rule.objective);
        self.paces.entry(rule.name.clone()).or_insert_with(new)
    }
}
