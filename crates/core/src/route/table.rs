use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, RngExt};

use super::{Distance, Load};
use crate::{
    config::{Rule, Server, Set, Shard, Snapshot},
    name::Name,
    outcome::{Hint, Trust},
    place::{self, Block},
    query::{Route, Target},
    time::Time,
};

/// One pick in this many puts a server that still ramps up first, so that it gains evidence.
const EXPLORE_ONE_IN: u32 = 16;

/// Chooses, for each shard of a query, the order in which its replicas are tried.
#[derive(Clone, Debug)]
pub struct Table {
    data_centre: Name,
    distance: Distance,
    config: Arc<Set>,
    blocks: BTreeMap<Name, Block>,
    gates: BTreeMap<Name, Name>,
    ranked: HashMap<Block, Name>,
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

    /// Returns the gate that serves a server, if any gate is alive.
    pub fn gate_of(&self, server: &Name) -> Option<&Name> {
        self.ranked.get(self.blocks.get(server)?)
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
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Target> {
        let shards = snapshot.shards.iter().filter_map(|it| self.config.shards.get(it));
        let reached = shards.filter(|it| rule.services.contains(&it.service));
        reached.map(|it| self.target(it, now, rng)).collect()
    }

    fn target(&self, shard: &Shard, now: Time, rng: &mut impl Rng) -> Target {
        let replicas = shard.replicas.iter().filter_map(|it| self.config.servers.get(it));
        let open = replicas.filter(|it| self.takes_work(it));
        let mut ranked: Vec<_> = open
            .filter_map(|it| {
                let gate = self.gate_of(&it.name)?.clone();
                let cost = self.cost(it, now, rng);
                Some((cost, Route { server: it.name.clone(), gate }))
            })
            .collect();
        ranked.sort_by_key(|(cost, _)| *cost);
        self.explore(&mut ranked, now, rng);
        let routes = ranked.into_iter().map(|(_, route)| route).collect();
        Target { shard: shard.name.clone(), routes }
    }

    fn takes_work(&self, server: &Server) -> bool {
        self.config.is_open(&server.data_centre) && !self.leaving.contains(&server.name)
    }

    /// Returns how a replica compares with others: first by whether it answers at all, then by
    /// the expected time, which is blurred so that entries do not all pick the same one.
    fn cost(&self, server: &Server, now: Time, rng: &mut impl Rng) -> (bool, Duration) {
        let slots = self.config.services.get(&server.service).map_or(1, |it| it.slots);
        let load = self.loads.get(&server.name).copied().unwrap_or_default();
        let unusable = load.trust(now) >= Trust::Down;
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
        if let Some(index) = ranked.iter().position(|(_, route)| is_ramping(route)) {
            ranked[..=index].rotate_right(1);
        }
    }

    fn rank_gates(&mut self) {
        self.ranked.clear();
        for block in self.blocks.values() {
            if self.ranked.contains_key(block) {
                continue;
            }
            if let Some(gate) = place::gates(block, &self.gates, 1).pop() {
                self.ranked.insert(block.clone(), gate);
            }
        }
    }
}
