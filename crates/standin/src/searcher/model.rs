use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use mimosabridge::gate::{Condition, Report};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio_util::sync::CancellationToken;

use super::{Spec, Stats};

/// The state of a modelled server, shared by its connections.
#[derive(Debug)]
pub struct Model {
    spec: Spec,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    stats: Stats,
    rng: StdRng,
    boot: u64,
    running: u32,
    connections: u32,
    cold_work: u32,
    leaving: bool,
    holds: Vec<u64>,
    slowdown: f64,
    silent_before: u64,
    requests: HashMap<String, CancellationToken>,
    life: CancellationToken,
}

/// Why a model does not start a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// No slot is free.
    Shed,
    /// The server is leaving.
    Leaving,
    /// The version is not held.
    NotHeld,
}

impl Model {
    /// Creates a warm server.
    pub fn new(spec: Spec) -> Model {
        let state = State {
            stats: Stats::default(),
            rng: StdRng::seed_from_u64(spec.seed),
            boot: spec.seed,
            running: 0,
            connections: 0,
            cold_work: 0,
            leaving: false,
            holds: spec.holds.clone(),
            slowdown: 1.0,
            silent_before: 0,
            requests: HashMap::new(),
            life: CancellationToken::new(),
        };
        Model { spec, state: Mutex::new(state) }
    }

    /// Returns what the server is like.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns what the server has counted.
    pub fn stats(&self) -> Stats {
        self.lock().stats.clone()
    }

    /// Returns what the server says of itself.
    pub fn report(&self) -> Report {
        let state = self.lock();
        let condition = match (state.leaving, state.cold_work) {
            (true, _) => Condition::Leaving,
            (false, 0) => Condition::Warm,
            (false, _) => Condition::Cold,
        };
        Report { boot: state.boot, condition, running: state.running }
    }

    /// Returns the versions that the server holds.
    pub fn holds(&self) -> Vec<u64> {
        self.lock().holds.clone()
    }

    /// Changes the versions that the server holds.
    pub fn set_holds(&self, holds: Vec<u64>) {
        self.lock().holds = holds;
    }

    /// Makes the server leave, or stay after all.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Makes every request take this many times longer.
    pub fn set_slowdown(&self, factor: f64) {
        self.lock().slowdown = factor;
    }

    /// Makes the server cold without a restart and without a word.
    pub fn chill(&self) {
        let work = self.spec.cold_work;
        self.lock().cold_work = work;
    }

    /// Makes every open connection silent for good. New ones work.
    pub fn silence(&self) {
        let mut state = self.lock();
        state.silent_before = state.stats.connections_opened;
    }

    /// Crashes the process: every connection breaks. It starts again cold.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.stats.crashes += 1;
        state.boot += 1_000_000;
        state.cold_work = self.spec.cold_work;
        state.requests.clear();
        std::mem::replace(&mut state.life, CancellationToken::new()).cancel();
    }

    /// Returns a token that is cancelled when the process crashes.
    pub fn life(&self) -> CancellationToken {
        self.lock().life.clone()
    }

    /// Counts a new connection and returns its number, or nothing if there are too many.
    pub fn connect(&self) -> Option<u64> {
        let mut state = self.lock();
        if state.connections >= self.spec.connections {
            state.stats.connections_refused += 1;
            return None;
        }
        state.connections += 1;
        state.stats.connections_opened += 1;
        state.stats.peak_connections = state.stats.peak_connections.max(state.connections);
        Some(state.stats.connections_opened)
    }

    /// Counts a connection that was closed.
    pub fn disconnect(&self) {
        self.lock().connections -= 1;
    }

    /// Returns whether a connection has gone silent.
    pub fn is_silent(&self, connection: u64) -> bool {
        connection <= self.lock().silent_before
    }

    /// Starts a request and returns how long it runs and the token that cancels it.
    pub fn start(
        &self,
        id: &str,
        snapshot: u64,
        order: Option<&str>,
    ) -> Result<(Duration, CancellationToken), Rejection> {
        let mut state = self.lock();
        if let Some(rejection) = state.rejection(snapshot, self.spec.slots) {
            state.stats.refused += 1;
            return Err(rejection);
        }
        state.running += 1;
        state.stats.started += 1;
        state.stats.peak_running = state.stats.peak_running.max(state.running);
        if state.cold_work > 0 {
            state.stats.peak_cold = state.stats.peak_cold.max(state.running);
        }
        if let Some(order) = order {
            *state.stats.orders.entry(order.to_owned()).or_default() += 1;
        }
        let token = state.life.child_token();
        state.requests.insert(id.to_owned(), token.clone());
        Ok((self.run_time(&mut state), token))
    }

    /// Ends a request that ran for `spent`.
    pub fn end(&self, id: &str, spent: Duration, served: bool) {
        let mut state = self.lock();
        state.requests.remove(id);
        state.running -= 1;
        state.cold_work = state.cold_work.saturating_sub(1);
        state.stats.busy_micros += spent.as_micros() as u64;
        if served {
            state.stats.served += 1;
        } else {
            state.stats.cancelled += 1;
            state.stats.wasted_micros += spent.as_micros() as u64;
        }
    }

    /// Cancels a running request.
    pub fn cancel(&self, id: &str) {
        if let Some(token) = self.lock().requests.get(id) {
            token.cancel();
        }
    }

    /// A cold server that is given more than it bears gets slower with every request too many.
    fn run_time(&self, state: &mut State) -> Duration {
        let spread = state.rng.random_range(0.7..1.4);
        let mut factor = spread * state.slowdown;
        if state.rng.random_bool(self.spec.straggle) {
            factor *= self.spec.straggle_factor;
        }
        if state.cold_work > 0 {
            let excess = state.running.saturating_sub(self.spec.cold_slots);
            factor *= self.spec.cold_factor * f64::from(1 + excess * excess);
        }
        self.spec.service_time.mul_f64(factor)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn rejection(&self, snapshot: u64, slots: u32) -> Option<Rejection> {
        if self.leaving {
            return Some(Rejection::Leaving);
        }
        if !self.holds.contains(&snapshot) {
            return Some(Rejection::NotHeld);
        }
        (self.running >= slots).then_some(Rejection::Shed)
    }
}
