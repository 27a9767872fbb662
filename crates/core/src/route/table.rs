use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, RngExt};

use super::{Distance, Load};
use crate::{
    config::{Rule, Server, Set, Shard, Snapshot},
    gate::RANKED_GATES,
    name::Name,
    outcome::{Hint, Trust},
    place::{self, Block},
    query::{Route, Target},
    snapshot::Holdings,
    time::Time,
};

/// One pick in this many puts a server that still ramps up first, so that it gains evidence.
const EXPLORE_ONE_IN: u32 = 16;

/// How long a gate that could not be reached is passed over.
const GATE_BACKOFF: Duration = Duration::from_secs(1);

/// Chooses, for each shard of a query, the order in which its replicas are tried.
#[derive(Clone, Debug)]
pub struct Table {
    data_centre: Name,
    distance: Distance,
    config: Arc<Set>,
    blocks: BTreeMap<Name, Block>,
    gates: BTreeMap<Name, Name>,
    ranked: HashMap<Block, Vec<Name>>,
    lost_gates: HashMap<Name, Time>,
    loads: HashMap<Name, Load>,
    leaving: HashSet<Name>,
}

impl Table {
    /// Creates the table of an entry that stands in `data_centre`.
    pub fn new(data_centre: Name) -> Table {
        Table {
            data_centre,
            distance: Distance::new(),
            config: Arc::default(),
            blocks: BTreeMap::new(),
            gates: BTreeMap::new(),
            ranked: HashMap::new(),
            lost_gates: HashMap::new(),
            loads: HashMap::new(),
            leaving: HashSet::new(),
        }
    }

    /// Replaces the default distances.
    pub fn with_distance(mut self, distance: Distance) -> Table {
        self.distance = distance;
        self
    }

    /// Takes a configuration.
    pub fn reconfigure(&mut self, config: Arc<Set>) {
        self.blocks = Block::all(&config);
        self.loads.retain(|name, _| config.servers.contains_key(name));
        self.config = config;
        self.rank_gates();
    }

    /// Takes the gates that take new work, each with its data centre.
    pub fn set_gates(&mut self, gates: BTreeMap<Name, Name>) {
        if self.gates == gates {
            return;
        }
        self.gates = gates;
        self.rank_gates();
    }

    /// Takes the servers that are known to be leaving.
    pub fn set_leaving(&mut self, leaving: HashSet<Name>) {
        self.leaving = leaving;
    }

    /// Takes note that a gate could not be reached.
    pub fn on_gate_lost(&mut self, gate: &Name, now: Time) {
        self.lost_gates.insert(gate.clone(), now + GATE_BACKOFF);
    }

    /// Takes note that a gate has answered.
    pub fn on_gate_heard(&mut self, gate: &Name) {
        self.lost_gates.remove(gate);
    }

    /// Returns the gate that serves a server, if any gate is alive: the first of its block that
    /// was not lost lately, or the first if all were.
    pub fn gate_of(&self, server: &Name, now: Time) -> Option<&Name> {
        let ranked = self.ranked.get(self.blocks.get(server)?)?;
        let is_lost = |it: &Name| self.lost_gates.get(it).is_some_and(|until| now < *until);
        ranked.iter().find(|it| !is_lost(it)).or(ranked.first())
    }

    /// Takes note of an attempt that was sent to a server.
    pub fn on_sent(&mut self, server: &Name) {
        self.loads.entry(server.clone()).or_default().on_sent();
    }

    /// Takes note of an attempt that is over.
    pub fn on_done(&mut self, server: &Name) {
        if let Some(load) = self.loads.get_mut(server) {
            load.on_done();
        }
    }

    /// Takes a hint about a server from its gate.
    pub fn on_hint(&mut self, server: &Name, hint: Hint, now: Time) {
        self.loads.entry(server.clone()).or_default().on_hint(hint, now);
    }

    /// Returns the targets of a query: every shard of the snapshot that the rule reaches.
    pub fn targets(
        &self,
        rule: &Rule,
        snapshot: &Snapshot,
        holdings: &Holdings,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Target> {
        let shards = snapshot.shards.iter().filter_map(|it| self.config.shards.get(it));
        let reached = shards.filter(|it| rule.services.contains(&it.service));
        let lacks = |it: &Name| holdings.holds(it, snapshot.version, now) == Some(false);
        reached.map(|it| self.target(it, lacks, now, rng)).collect()
    }

    fn target(
        &self,
        shard: &Shard,
        lacks: impl Fn(&Name) -> bool,
        now: Time,
        rng: &mut impl Rng,
    ) -> Target {
        let replicas = shard.replicas.iter().filter_map(|it| self.config.servers.get(it));
        let open = replicas.filter(|it| self.takes_work(it));
        let mut ranked: Vec<_> = open
            .filter_map(|it| {
                let gate = self.gate_of(&it.name, now)?.clone();
                let cost = self.cost(it, lacks(&it.name), now, rng);
                Some((cost, Route { server: it.name.clone(), gate }))
            })
            .collect();
        ranked.sort_by_key(|(cost, _)| *cost);
        self.explore(&mut ranked, now, rng);
        let mut routes: Vec<_> = ranked.into_iter().map(|(_, route)| route).collect();
        let detours: Vec<_> = routes.iter().filter_map(|it| self.detour(it)).collect();
        routes.extend(detours);
        Target { shard: shard.name.clone(), routes }
    }

    /// Returns the way to the same server through the next gate of its block.
    fn detour(&self, route: &Route) -> Option<Route> {
        let ranked = self.ranked.get(self.blocks.get(&route.server)?)?;
        let gate = ranked.iter().find(|it| **it != route.gate)?.clone();
        Some(Route { server: route.server.clone(), gate })
    }

    fn takes_work(&self, server: &Server) -> bool {
        self.config.is_open(&server.data_centre) && !self.leaving.contains(&server.name)
    }

    /// Returns how a replica compares with others: first by whether it can answer at all, then by
    /// the expected time, which is blurred so that entries do not all pick the same one.
    fn cost(
        &self,
        server: &Server,
        lacks: bool,
        now: Time,
        rng: &mut impl Rng,
    ) -> (bool, Duration) {
        let slots = self.config.services.get(&server.service).map_or(1, |it| it.slots);
        let load = self.loads.get(&server.name).copied().unwrap_or_default();
        let unusable = lacks || load.trust(now) >= Trust::Down;
        let expected = load.wait(slots, now) + self.distance_to(&server.data_centre);
        (unusable, expected.mul_f64(rng.random_range(0.8..1.2)))
    }

    fn distance_to(&self, data_centre: &Name) -> Duration {
        if *data_centre == self.data_centre {
            return Duration::ZERO;
        }
        let region = |it: &Name| self.config.data_centres.get(it).map(|it| &it.region);
        if region(data_centre) == region(&self.data_centre) {
            self.distance.data_centre
        } else {
            self.distance.region
        }
    }

    fn explore(&self, ranked: &mut [((bool, Duration), Route)], now: Time, rng: &mut impl Rng) {
        if rng.random_range(0..EXPLORE_ONE_IN) != 0 {
            return;
        }
        let is_ramping = |route: &Route| {
            let trust = self.loads.get(&route.server).map(|it| it.trust(now));
            matches!(trust, Some(Trust::Cold | Trust::Ramping))
        };
        if let Some(index) = ranked.iter().position(|(cost, route)| !cost.0 && is_ramping(route)) {
            ranked[..=index].rotate_right(1);
        }
    }

    fn rank_gates(&mut self) {
        self.ranked.clear();
        for block in self.blocks.values() {
            if self.ranked.contains_key(block) {
                continue;
            }
            let gates = place::gates(block, &self.gates, RANKED_GATES as usize);
            self.ranked.insert(block.clone(), gates);
        }
    }
}
