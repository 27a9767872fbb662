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
    warm_up_left: u32,
    leaving: bool,
    holds: Vec<u64>,
    slowdown: f64,
    silent_before: u64,
    requests: HashMap<String, CancellationToken>,
    crash_token: CancellationToken,
}

/// The reason why a server refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// No slot is free.
    Shed,
    /// The server is about to stop and takes no new requests.
    Leaving,
    /// The server does not hold the requested version of the index.
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
            warm_up_left: 0,
            leaving: false,
            holds: spec.holds.clone(),
            slowdown: 1.0,
            silent_before: 0,
            requests: HashMap::new(),
            crash_token: CancellationToken::new(),
        };
        Model { spec, state: Mutex::new(state) }
    }

    /// Returns the parameters of the server.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the counters of the server.
    pub fn stats(&self) -> Stats {
        self.lock().stats.clone()
    }

    /// Returns the load report that the server attaches to its replies.
    pub fn report(&self) -> Report {
        let state = self.lock();
        let condition = match (state.leaving, state.warm_up_left) {
            (true, _) => Condition::Leaving,
            (false, 0) => Condition::Warm,
            (false, _) => Condition::Cold,
        };
        Report { boot: state.boot, condition, running: state.running }
    }

    /// Returns the versions of the index that the server holds.
    pub fn holds(&self) -> Vec<u64> {
        self.lock().holds.clone()
    }

    /// Replaces the versions of the index that the server holds.
    pub fn set_holds(&self, holds: Vec<u64>) {
        self.lock().holds = holds;
    }

    /// Starts or takes back a planned stop. A leaving server refuses new requests.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Multiplies the run time of every later request by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        self.lock().slowdown = factor;
    }

    /// Makes the server cold without a restart, so that its boot number stays the same.
    pub fn make_cold(&self) {
        let requests = self.spec.warm_up_requests;
        self.lock().warm_up_left = requests;
    }

    /// Makes every open connection drop all later data. New connections work.
    pub fn silence(&self) {
        let mut state = self.lock();
        state.silent_before = state.stats.connections_opened;
    }

    /// Crashes the process: every connection breaks, and it restarts cold with a new boot number.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.stats.crashes += 1;
        state.boot += 1_000_000;
        state.warm_up_left = self.spec.warm_up_requests;
        state.requests.clear();
        std::mem::replace(&mut state.crash_token, CancellationToken::new()).cancel();
    }

    /// Returns a token that is cancelled when the process crashes.
    pub fn crash_token(&self) -> CancellationToken {
        self.lock().crash_token.clone()
    }

    /// Records a new connection and returns its number, or `None` if the limit is reached.
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

    /// Records that a connection was closed.
    pub fn disconnect(&self) {
        self.lock().connections -= 1;
    }

    /// Returns whether a connection drops all data.
    pub fn is_silent(&self, connection: u64) -> bool {
        connection <= self.lock().silent_before
    }

    /// Starts a request and returns its run time and the token that cancels it.
    ///
    /// Fails if the server is leaving, does not hold the snapshot or has no free slot.
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
        if state.warm_up_left > 0 {
            state.stats.peak_cold = state.stats.peak_cold.max(state.running);
        }
        if let Some(order) = order {
            *state.stats.orders.entry(order.to_owned()).or_default() += 1;
        }
        let token = state.crash_token.child_token();
        state.requests.insert(id.to_owned(), token.clone());
        Ok((self.run_time(&mut state), token))
    }

    /// Records the end of a request that ran for `elapsed`, and whether it was served.
    pub fn end(&self, id: &str, elapsed: Duration, served: bool) {
        let mut state = self.lock();
        state.requests.remove(id);
        state.running -= 1;
        state.warm_up_left = state.warm_up_left.saturating_sub(1);
        state.stats.busy_micros += elapsed.as_micros() as u64;
        if served {
            state.stats.served += 1;
        } else {
            state.stats.cancelled += 1;
            state.stats.wasted_micros += elapsed.as_micros() as u64;
        }
    }

    /// Cancels a running request; an unknown one is ignored.
    pub fn cancel(&self, id: &str) {
        if let Some(token) = self.lock().requests.get(id) {
            token.cancel();
        }
    }

    /// Draws a random run time. On a cold server it grows with the square of the number of running
    /// requests above `cold_slots`.
    fn run_time(&self, state: &mut State) -> Duration {
        let spread = state.rng.random_range(0.7..1.4);
        let mut factor = spread * state.slowdown;
        if state.rng.random_bool(self.spec.straggle) {
            factor *= self.spec.straggle_factor;
        }
        if state.warm_up_left > 0 {
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
