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

/// How much of an extra attempt each success adds to the budget of a rule, in percent.
const BUDGET_PERCENT: u32 = 10;

/// The number of extra attempts that the budget of a rule holds at most.
const BUDGET_CAPACITY: u32 = 50;

/// The delay before a hedge while a rule has too few samples.
const DEFAULT_HEDGE_DELAY: Duration = Duration::from_millis(30);

/// The shortest delay before a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// The number of requests that an entry runs at once.
const ADMISSION_CAPACITY: usize = 2_000;

/// The number of contents that are remembered as harmless.
const HARMLESS_CAPACITY: usize = 4_096;

/// The state that the sessions of an entry share.
pub struct State {
    /// Selects the servers and gates of attempts.
    pub table: Table,
    /// The snapshot versions that servers hold.
    pub holdings: Holdings,
    /// Chooses the snapshot version that a request is answered from.
    pub chooser: Chooser,
    /// Admits or refuses requests.
    pub admission: Controller,
    /// The source of random choices.
    pub rng: StdRng,
    rules: HashMap<Name, RuleState>,
    harmless: HashSet<Fingerprint>,
    harmless_order: VecDeque<Fingerprint>,
}

/// The retry budget and the latencies of one rule.
pub struct RuleState {
    /// Limits retries and hedges.
    pub budget: Budget,
    /// How long shards took to answer.
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

    /// Returns the state of a rule, which is created if it has none.
    pub fn rule(&mut self, rule: &Name) -> &mut RuleState {
        self.rules.entry(rule.clone()).or_insert_with(RuleState::new)
    }

    /// Records that a content was run on all shards without a crash. Forgets the oldest content if
    /// there are too many.
    pub fn record_harmless(&mut self, content: Fingerprint) {
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

    /// Returns whether a content was recently run on all shards without a crash.
    pub fn is_harmless(&self, content: Fingerprint) -> bool {
        self.harmless.contains(&content)
    }
}

impl RuleState {
    fn new() -> RuleState {
        RuleState { budget: Budget::new(BUDGET_PERCENT, BUDGET_CAPACITY), latency: Latency::new() }
    }

    /// Returns how long to wait for a shard before a hedge is sent.
    pub fn hedge_after(&self, quantile: f64) -> Duration {
        self.latency.quantile(quantile).unwrap_or(DEFAULT_HEDGE_DELAY).max(MIN_HEDGE_DELAY)
    }
}
