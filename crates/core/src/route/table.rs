use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, RngExt, seq::IndexedRandom};

use super::{Distance, Load, Reach, Replica};
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

/// One pick in this many puts a server that still ramps up first, so that it gains evidence.
const EXPLORE_ONE_IN: u32 = 16;

/// How much the expected time is blurred, so that entries do not all pick the same server.
const BLUR: f64 = 0.2;

/// How long a gate that could not be reached is passed over.
const GATE_BACKOFF: Duration = Duration::from_secs(1);

/// Chooses, for each shard of a query, the order in which its replicas are tried.
#[derive(Clone, Debug)]
pub struct Table {
    data_centre: Name,
    distance: Distance,
    config: Arc<Set>,
    replicas: Vec<Replica>,
    places: HashMap<Name, usize>,
    reaches: HashMap<(Name, Name), Arc<Reach>>,
    gates: BTreeMap<Name, Name>,
    lost_gates: HashMap<Name, Time>,
    leaving: HashSet<Name>,
    placement: Placement,
}

impl Table {
    /// Creates the table of an entry that stands in `data_centre`.
    pub fn new(data_centre: Name) -> Table {
        Table {
            data_centre,
            distance: Distance::new(),
            config: Arc::default(),
            replicas: Vec::new(),
            places: HashMap::new(),
            reaches: HashMap::new(),
            gates: BTreeMap::new(),
            lost_gates: HashMap::new(),
            leaving: HashSet::new(),
            placement: Placement::Primary,
        }
    }

    /// Replaces the placement, for measurement.
    pub fn with_placement(mut self, placement: Placement) -> Table {
        self.placement = placement;
        self
    }

    /// Replaces the default distances.
    pub fn with_distance(mut self, distance: Distance) -> Table {
        self.distance = distance;
        self
    }

    /// Takes a configuration. What is known of the load on servers stays.
    pub fn reconfigure(&mut self, config: Arc<Set>) {
        self.config = config;
        self.reaches.clear();
        let blocks = Block::all(&self.config);
        let servers = self.config.servers.values();
        let replicas: Vec<_> =
            servers.map(|it| self.replica(it, blocks[&it.name].clone())).collect();
        let numbered = replicas.iter().enumerate();
        self.places = numbered.map(|(place, it)| (it.name.clone(), place)).collect();
        self.replicas = replicas;
        self.rank_gates();
    }

    /// Takes the gates that take new work, each with its data centre.
    pub fn set_gates(&mut self, gates: BTreeMap<Name, Name>) {
        if self.gates == gates {
            return;
        }
        self.lost_gates.retain(|it, _| gates.contains_key(it));
        self.gates = gates;
        self.rank_gates();
    }

    /// Takes the servers that are known to be leaving.
    pub fn set_leaving(&mut self, leaving: HashSet<Name>) {
        for replica in &mut self.replicas {
            replica.leaving = leaving.contains(&replica.name);
        }
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

    /// Returns the gate that serves a server, if any gate is alive.
    pub fn gate_of(&self, server: &Name, now: Time) -> Option<&Name> {
        self.gate(&self.replicas[*self.places.get(server)?], now)
    }

    /// Takes note of an attempt that was sent to a server.
    pub fn on_sent(&mut self, server: &Name) {
        if let Some(load) = self.load(server) {
            load.on_sent();
        }
    }

    /// Takes note of an attempt that is over.
    pub fn on_done(&mut self, server: &Name) {
        if let Some(load) = self.load(server) {
            load.on_done();
        }
    }

    /// Takes a hint about a server from its gate.
    pub fn on_hint(&mut self, server: &Name, hint: Hint, now: Time) {
        if let Some(load) = self.load(server) {
            load.on_hint(hint, now);
        }
    }

    /// Returns the targets of a query: every shard of the snapshot that the rule reaches.
    pub fn targets(
        &mut self,
        rule: &Rule,
        snapshot: &Snapshot,
        holdings: &Holdings,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Target> {
        let reach = self.reach(rule, snapshot);
        let lacks = |it: &Name| holdings.holds(it, snapshot.version, now) == Some(false);
        let target = |(shard, replicas): &(Name, Vec<usize>)| Target {
            shard: shard.clone(),
            routes: self.routes(replicas, &lacks, now, rng),
        };
        reach.shards.iter().map(target).collect()
    }

    fn reach(&mut self, rule: &Rule, snapshot: &Snapshot) -> Arc<Reach> {
        let key = (rule.name.clone(), snapshot.name.clone());
        let find = || Arc::new(Reach::new(&self.config, rule, snapshot, &self.places));
        self.reaches.entry(key).or_insert_with(find).clone()
    }

    /// Returns the ways to a shard, best first. The ways through second gates come last.
    fn routes(
        &self,
        replicas: &[usize],
        lacks: &impl Fn(&Name) -> bool,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Route> {
        let usable = replicas.iter().map(|it| &self.replicas[*it]).filter(|it| it.takes_work());
        let mut ranked: Vec<_> = usable
            .map(|it| {
                let (unusable, expected) = it.cost(lacks(&it.name), now);
                let blur = rng.random_range(1.0 - BLUR..1.0 + BLUR);
                ((unusable, expected.mul_f64(blur)), it)
            })
            .collect();
        ranked.sort_by_key(|(cost, _)| *cost);
        if rng.random_range(0..EXPLORE_ONE_IN) == 0 {
            explore(&mut ranked, now);
        }
        let mut routes = Vec::with_capacity(2 * ranked.len());
        let mut detours = Vec::with_capacity(ranked.len());
        for (_, replica) in ranked {
            let Some(gate) = self.gate(replica, now) else { continue };
            let gate = if self.placement == Placement::Spread {
                replica.gates.choose(rng).unwrap_or(gate)
            } else {
                gate
            };
            let route = |gate: &Name| Route { server: replica.name.clone(), gate: gate.clone() };
            routes.push(route(gate));
            detours.extend(replica.gates.iter().find(|it| *it != gate).map(route));
        }
        routes.extend(detours);
        routes
    }

    /// Returns the first gate of a replica that was not lost lately, or the first if all were.
    fn gate<'a>(&self, replica: &'a Replica, now: Time) -> Option<&'a Name> {
        let is_lost = |it: &Name| self.lost_gates.get(it).is_some_and(|until| now < *until);
        if self.lost_gates.is_empty() {
            return replica.gates.first();
        }
        replica.gates.iter().find(|it| !is_lost(it)).or(replica.gates.first())
    }

    fn load(&mut self, server: &Name) -> Option<&mut Load> {
        let place = *self.places.get(server)?;
        Some(&mut self.replicas[place].load)
    }

    fn replica(&self, server: &Server, block: Block) -> Replica {
        let known = self.places.get(&server.name).map(|it| &self.replicas[*it]);
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

/// Puts the first usable replica that still ramps up in front.
fn explore(ranked: &mut [((bool, Duration), &Replica)], now: Time) {
    let is_candidate = |it: &((bool, Duration), &Replica)| !it.0.0 && it.1.is_ramping(now);
    if let Some(index) = ranked.iter().position(is_candidate) {
        ranked[..=index].rotate_right(1);
    }
}
