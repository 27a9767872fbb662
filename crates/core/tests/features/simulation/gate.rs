use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use mimosabridge::{
    config::Set,
    gate::{Gate, RANKED_GATES, Rank, Settings},
    name::Name,
    place::{self, Block},
    time::Time,
};

/// A gate with the state that its fake driver keeps.
pub struct FakeGate {
    pub gate: Gate,
    pub data_centre: Name,
    pub is_down: bool,
    pub paused_until: Time,
    pub stopped_at: Option<Time>,
    name: Name,
    data_centres: BTreeMap<Name, Name>,
    closed: HashSet<u64>,
}

impl FakeGate {
    pub fn new(name: &Name, set: Arc<Set>, data_centres: &BTreeMap<Name, Name>) -> FakeGate {
        let mut fake = FakeGate {
            gate: Gate::new(Settings::new()),
            data_centre: data_centres[name].clone(),
            is_down: false,
            paused_until: Time::ZERO,
            stopped_at: None,
            name: name.clone(),
            data_centres: data_centres.clone(),
            closed: HashSet::new(),
        };
        fake.reconfigure(set, Time::ZERO);
        fake
    }

    pub fn reconfigure(&mut self, set: Arc<Set>, now: Time) -> Vec<mimosabridge::gate::Action> {
        let mut ranks = HashMap::new();
        for (server, block) in Block::all(&set) {
            let ranked = place::gates(&block, &self.data_centres, RANKED_GATES as usize);
            let rank = match ranked.iter().position(|it| *it == self.name) {
                Some(0) => Rank::Primary,
                _ => Rank::Standby,
            };
            ranks.insert(server, rank);
        }
        self.gate.reconfigure(set, ranks, now)
    }

    pub fn runs(&self, now: Time) -> bool {
        !self.is_down && now >= self.paused_until
    }

    pub fn close(&mut self, task: u64) {
        self.closed.insert(task);
    }

    pub fn is_closed(&self, task: u64) -> bool {
        self.closed.contains(&task)
    }
}
