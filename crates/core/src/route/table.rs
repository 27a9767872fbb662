use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, RngExt, seq::IndexedRandom};

use super::{Distance, Load, Replica, Scope};
use crate::{
    config::{Rule, Server, Set, Snapshot},
    gate::RANKED_GATES,
    name::Name,
    outcome::Hint,
    place::{self, Block, Placement},
    query::{Route, Target},
    snapshot::Holdings,
    time::Time,
};

/// One in this many routing decisions puts a server that is still ramping up first, so that its
/// gate gains evidence about it.
const EXPLORE_ONE_IN: u32 = 16;

/// The random part of an expected time, as a fraction, so that entries do not all pick the same
/// server.
const JITTER: f64 = 0.2;

/// How long a gate that could not be reached is skipped.
const GATE_BACKOFF: Duration = Duration::from_secs(1);

/// Chooses, for each shard of a query, the order in which its replicas are tried.
#[derive(Clone, Debug)]
pub struct Table {
    data_centre: Name,
    distance: Distance,
    config: Arc<Set>,
    replicas: Vec<Replica>,
    /// The index of each server in `replicas`.
    indexes: HashMap<Name, usize>,
    /// The shards of each pair of a rule and a snapshot that was queried.
    scopes: HashMap<(Name, Name), Arc<Scope>>,
    /// The data centre of each gate that accepts new work.
    gates: BTreeMap<Name, Name>,
    /// Gates that could not be reached, and until when they are skipped.
    gate_backoffs: HashMap<Name, Time>,
    leaving: HashSet<Name>,
    placement: Placement,
}

impl Table {
    /// Creates the table of an entry in `data_centre`.
    pub fn new(data_centre: Name) -> Table {
        Table {
            data_centre,
            distance: Distance::new(),
            config: Arc::default(),
            replicas: Vec::new(),
            indexes: HashMap::new(),
            scopes: HashMap::new(),
            gates: BTreeMap::new(),
            gate_backoffs: HashMap::new(),
            leaving: HashSet::new(),
            placement: Placement::Primary,
        }
    }

    /// Replaces the placement, for measurements.
    pub fn with_placement(mut self, placement: Placement) -> Table {
        self.placement = placement;
        self
    }

    /// Replaces the default distances.
    pub fn with_distance(mut self, distance: Distance) -> Table {
        self.distance = distance;
        self
    }

    /// Applies a configuration. The known load of servers is kept.
    pub fn reconfigure(&mut self, config: Arc<Set>) {
        self.config = config;
        self.scopes.clear();
        let blocks = Block::all(&self.config);
        let servers = self.config.servers.values();
        let replicas: Vec<_> =
            servers.map(|it| self.replica(it, blocks[&it.name].clone())).collect();
        let numbered = replicas.iter().enumerate();
        self.indexes = numbered.map(|(index, it)| (it.name.clone(), index)).collect();
        self.replicas = replicas;
        self.rank_gates();
    }

    /// Sets the gates that accept new work, each with its data centre.
    pub fn set_gates(&mut self, gates: BTreeMap<Name, Name>) {
        if self.gates == gates {
            return;
        }
        self.gate_backoffs.retain(|it, _| gates.contains_key(it));
        self.gates = gates;
        self.rank_gates();
    }

    /// Sets the servers that are known to be leaving.
    pub fn set_leaving(&mut self, leaving: HashSet<Name>) {
        for replica in &mut self.replicas {
            replica.leaving = leaving.contains(&replica.name);
        }
        self.leaving = leaving;
    }

    /// Records that a gate could not be reached.
    pub fn on_gate_unreachable(&mut self, gate: &Name, now: Time) {
        self.gate_backoffs.insert(gate.clone(), now + GATE_BACKOFF);
    }

    /// Records that a gate has answered.
    pub fn on_gate_answer(&mut self, gate: &Name) {
        self.gate_backoffs.remove(gate);
    }

    /// Returns the gate that serves a server, if any gate accepts new work.
    pub fn gate_of(&self, server: &Name, now: Time) -> Option<&Name> {
        self.gate(&self.replicas[*self.indexes.get(server)?], now)
    }

    /// Records that an attempt was sent to a server.
    pub fn on_sent(&mut self, server: &Name) {
        if let Some(load) = self.load(server) {
            load.on_sent();
        }
    }

    /// Records that an attempt is over.
    pub fn on_done(&mut self, server: &Name) {
        if let Some(load) = self.load(server) {
            load.on_done();
        }
    }

    /// Records a hint about a server from its gate.
    pub fn on_hint(&mut self, server: &Name, hint: Hint, now: Time) {
        if let Some(load) = self.load(server) {
            load.on_hint(hint, now);
        }
    }

    /// Returns the targets of a query: every shard of the snapshot that the rule covers.
    pub fn targets(
        &mut self,
        rule: &Rule,
        snapshot: &Snapshot,
        holdings: &Holdings,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Target> {
        let scope = self.scope(rule, snapshot);
        let lacks_version = |it: &Name| holdings.holds(it, snapshot.version, now) == Some(false);
        let target = |(shard, replicas): &(Name, Vec<usize>)| Target {
            shard: shard.clone(),
            routes: self.routes(replicas, &lacks_version, now, rng),
        };
        scope.shards.iter().map(target).collect()
    }

    fn scope(&mut self, rule: &Rule, snapshot: &Snapshot) -> Arc<Scope> {
        let key = (rule.name.clone(), snapshot.name.clone());
        let find = || Arc::new(Scope::new(&self.config, rule, snapshot, &self.indexes));
        self.scopes.entry(key).or_insert_with(find).clone()
    }

    /// Returns the routes to a shard, best first. Fallback routes through second gates come last.
    fn routes(
        &self,
        replicas: &[usize],
        lacks_version: &impl Fn(&Name) -> bool,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Route> {
        let candidates = replicas.iter().map(|it| &self.replicas[*it]).filter(|it| it.takes_work());
        let mut ranked: Vec<_> = candidates
            .map(|it| {
                let (unusable, expected) = it.cost(lacks_version(&it.name), now);
                let jitter = rng.random_range(1.0 - JITTER..1.0 + JITTER);
                ((unusable, expected.mul_f64(jitter)), it)
            })
            .collect();
        ranked.sort_by_key(|(cost, _)| *cost);
        if rng.random_range(0..EXPLORE_ONE_IN) == 0 {
            explore(&mut ranked, now);
        }
        let mut routes = Vec::with_capacity(2 * ranked.len());
        let mut fallbacks = Vec::with_capacity(ranked.len());
        for (_, replica) in ranked {
            let Some(gate) = self.gate(replica, now) else { continue };
            let gate = if self.placement == Placement::Spread {
                replica.gates.choose(rng).unwrap_or(gate)
            } else {
                gate
            };
            let route = |gate: &Name| Route { server: replica.name.clone(), gate: gate.clone() };
            routes.push(route(gate));
            fallbacks.extend(replica.gates.iter().find(|it| *it != gate).map(route));
        }
        routes.extend(fallbacks);
        routes
    }

    /// Returns the first gate of a replica that is not in backoff, or the first if all are.
    fn gate<'a>(&self, replica: &'a Replica, now: Time) -> Option<&'a Name> {
        let is_backing_off =
            |it: &Name| self.gate_backoffs.get(it).is_some_and(|until| now < *until);
        if self.gate_backoffs.is_empty() {
            return replica.gates.first();
        }
        replica.gates.iter().find(|it| !is_backing_off(it)).or(replica.gates.first())
    }

    fn load(&mut self, server: &Name) -> Option<&mut Load> {
        let index = *self.indexes.get(server)?;
        Some(&mut self.replicas[index].load)
    }

    fn replica(&self, server: &Server, block: Block) -> Replica {
        let known = self.indexes.get(&server.name).map(|it| &self.replicas[*it]);
        Replica {
            name: server.name.clone(),
            block,
            slots: self.config.services.get(&server.service).map_or(1, |it| it.slots),
            distance: self.distance_to(&server.data_centre),
            open: self.config.is_open(&server.data_centre),
            leaving: self.leaving.contains(&server.name),
            gates: Arc::default(),
            load: known.map(|it| it.load).unwrap_or_default(),
        }
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

    fn rank_gates(&mut self) {
        let mut ranked: HashMap<Block, Arc<[Name]>> = HashMap::new();
        for replica in &mut self.replicas {
            let rank = |it: &Block| place::gates(it, &self.gates, RANKED_GATES as usize).into();
            let gates = ranked.entry(replica.block.clone()).or_insert_with_key(rank);
            replica.gates = gates.clone();
        }
    }
}

/// Moves the first usable replica that is still ramping up to the front.
fn explore(ranked: &mut [((bool, Duration), &Replica)], now: Time) {
    let is_candidate = |it: &((bool, Duration), &Replica)| !it.0.0 && it.1.is_ramping(now);
    if let Some(index) = ranked.iter().position(is_candidate) {
        ranked[..=index].rotate_right(1);
    }
}
