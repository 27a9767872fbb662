use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use mimosabridge::{
    admission::Controller,
    fingerprint::Fingerprint,
    name::Name,
    place::Placement,
    retry::{Budget, Latency},
    route::Table,
    snapshot::{Chooser, Holdings},
};
use rand::{SeedableRng, rngs::StdRng};

/// Hundredths of an extra attempt that each success pays for.
const BUDGET_PERCENT: u32 = 10;

/// Extra attempts that may be made at once.
const BUDGET_CAPACITY: u32 = 50;

/// When to hedge before a rule has enough samples.
const DEFAULT_HEDGE: Duration = Duration::from_millis(30);

/// The shortest time after which to hedge.
const MIN_HEDGE: Duration = Duration::from_millis(1);

/// Requests that an entry runs at once.
const ADMISSION_CAPACITY: usize = 2_000;

/// Contents that are remembered as harmless.
const HARMLESS_CAPACITY: usize = 4_096;

/// The decisions that the sessions of an entry share.
pub struct State {
    /// Where attempts go.
    pub table: Table,
    /// What servers hold.
    pub holdings: Holdings,
    /// Which version is answered from.
    pub chooser: Chooser,
    /// Which requests are taken.
    pub admission: Controller,
    /// The random choices.
    pub rng: StdRng,
    rules: HashMap<Name, RuleState>,
    harmless: HashSet<Fingerprint>,
    harmless_order: VecDeque<Fingerprint>,
}

/// What an entry has learned of one rule.
pub struct RuleState {
    /// Pays for retries and hedges.
    pub budget: Budget,
    /// How long shards take to answer.
    pub latency: Latency,
}

impl State {
    /// Creates the state of an entry in `data_centre`.
    pub fn new(data_centre: Name, seed: u64, placement: Placement) -> State {
        State {
            table: Table::new(data_centre).with_placement(placement),
            holdings: Holdings::new(),
            chooser: Chooser::new(),
            admission: Controller::new(ADMISSION_CAPACITY),
            rng: StdRng::seed_from_u64(seed),
            rules: HashMap::new(),
            harmless: HashSet::new(),
            harmless_order: VecDeque::new(),
        }
    }

    /// Returns what was learned of a rule.
    pub fn rule(&mut self, rule: &Name) -> &mut RuleState {
        self.rules.entry(rule.clone()).or_insert_with(RuleState::new)
    }

    /// Takes note that a content was run in full without a crash.
    pub fn on_harmless(&mut self, content: Fingerprint) {
        if !self.harmless.insert(content) {
            return;
        }
        self.harmless_order.push_back(content);
        if self.harmless_order.len() > HARMLESS_CAPACITY
            && let Some(oldest) = self.harmless_order.pop_front()
        {
            self.harmless.remove(&oldest);
        }
    }

    /// Returns whether a content was run in full without a crash lately.
    pub fn is_harmless(&self, content: Fingerprint) -> bool {
        self.harmless.contains(&content)
    }
}

impl RuleState {
    fn new() -> RuleState {
        RuleState { budget: Budget::new(BUDGET_PERCENT, BUDGET_CAPACITY), latency: Latency::new() }
    }

    /// Returns how long a shard may stay silent before it is asked again elsewhere.
    pub fn hedge_after(&self, quantile: f64) -> Duration {
        self.latency.quantile(quantile).unwrap_or(DEFAULT_HEDGE).max(MIN_HEDGE)
    }
}
