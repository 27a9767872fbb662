use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use mimosabridge::{
    config::{Rule, Snapshot},
    name::Name,
    outcome::Hint,
    query::Target,
    retry::{Budget, Latency},
    route::Table,
    time::Time,
};
use rand::{SeedableRng, rngs::StdRng};
use tokio::sync::watch;

use super::Links;
use crate::{fleet::View, timer};

/// Hundredths of an extra attempt that each success pays for.
const BUDGET_PERCENT: u32 = 10;

/// Extra attempts that may be made at once.
const BUDGET_CAPACITY: u32 = 50;

/// When to hedge before a rule has enough samples.
const DEFAULT_HEDGE: Duration = Duration::from_millis(30);

/// The shortest time after which to hedge.
const MIN_HEDGE: Duration = Duration::from_millis(1);

/// What the sessions of an entry share.
pub struct Front {
    /// The timers.
    pub timer: timer::Service,
    /// The connections to the gates.
    pub links: Links,
    view: watch::Receiver<Arc<View>>,
    state: Mutex<State>,
    next_call: AtomicU64,
}

/// The decisions that sessions share.
struct State {
    table: Table,
    rng: StdRng,
    rules: HashMap<Name, RuleState>,
}

/// What an entry has learned of one rule.
pub struct RuleState {
    /// Pays for retries and hedges.
    pub budget: Budget,
    /// How long shards take to answer.
    pub latency: Latency,
}

impl Front {
    /// Creates the shared part of an entry in `data_centre`. `boot` tells this process from its
    /// earlier ones and seeds its random choices.
    pub fn new(
        data_centre: Name,
        boot: u64,
        timer: timer::Service,
        view: watch::Receiver<Arc<View>>,
    ) -> Front {
        let state = State {
            table: Table::new(data_centre),
            rng: StdRng::seed_from_u64(boot),
            rules: HashMap::new(),
        };
        Front {
            timer,
            links: Links::new(),
            view,
            state: Mutex::new(state),
            next_call: AtomicU64::new(boot << 24),
        }
    }

    /// Returns what is known of the fleet.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Follows the view of the fleet until it ends.
    pub async fn follow(self: Arc<Self>) {
        let mut view = self.view.clone();
        view.mark_changed();
        while view.changed().await.is_ok() {
            let view = view.borrow_and_update().clone();
            let mut state = self.lock();
            if let Some(bundle) = &view.config {
                state.table.reconfigure(Arc::new(bundle.set.clone()));
            }
            state.table.set_gates(view.gate_places());
            state.table.set_leaving(view.leaving.clone());
            drop(state);
            self.links.retain(&view);
        }
    }

    /// Returns a number for a call that no other call of the fleet has.
    pub fn next_call(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the targets of a query.
    pub fn targets(&self, rule: &Rule, snapshot: &Snapshot, now: Time) -> Vec<Target> {
        let state = &mut *self.lock();
        state.table.targets(rule, snapshot, now, &mut state.rng)
    }

    /// Takes note of an attempt that was sent to a server.
    pub fn on_sent(&self, server: &Name) {
        self.lock().table.on_sent(server);
    }

    /// Takes note of an attempt that is over, and of what its gate said of the server.
    pub fn on_done(&self, server: &Name, hint: Option<Hint>, now: Time) {
        let mut state = self.lock();
        state.table.on_done(server);
        if let Some(hint) = hint {
            state.table.on_hint(server, hint, now);
        }
    }

    /// Returns how long a shard may stay silent before it is asked again elsewhere.
    pub fn hedge_after(&self, rule: &Rule) -> Duration {
        let quantile = self.with_rule(&rule.name, |it| it.latency.quantile(rule.hedge_quantile));
        quantile.unwrap_or(DEFAULT_HEDGE).max(MIN_HEDGE)
    }

    /// Reads or changes what was learned of a rule.
    pub fn with_rule<T>(&self, rule: &Name, work: impl FnOnce(&mut RuleState) -> T) -> T {
        let mut state = self.lock();
        let rule = state.rules.entry(rule.clone()).or_insert_with(|| RuleState {
            budget: Budget::new(BUDGET_PERCENT, BUDGET_CAPACITY),
            latency: Latency::new(),
        });
        work(rule)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
