use std::collections::BTreeMap;

use mimosabridge::{
    gate::{Completion, Condition, Report},
    name::Name,
    outcome::{Failure, Outcome, Refusal, Reply},
    time::Time,
};
use serde_json::value::to_raw_value;

use super::{MAX_TRANSIT_TIME, VERSION};

/// A fake server that records the requests that it receives.
pub struct FakeServer {
    pub is_leaving: bool,
    pub is_cold: bool,
    pub is_silent: bool,
    pub holds: Vec<u64>,
    pub reply_version: u64,
    pub closed_at: Option<Time>,
    /// Whether the server reports that it is warm while it is cold.
    pub hides_cold: bool,
    /// When each gate was informed that the server is cold.
    pub informed: BTreeMap<Name, Time>,
    /// The largest number of requests that ran at once after an informed gate sent one.
    pub peak_informed: usize,
    /// The time, task and shard of each request that was started.
    pub starts: Vec<(Time, u64, Name)>,
    boot: u64,
    down_until: Time,
    running: BTreeMap<u64, Name>,
}

impl FakeServer {
    pub fn new() -> FakeServer {
        FakeServer {
            is_leaving: false,
            is_cold: false,
            is_silent: false,
            holds: vec![VERSION],
            reply_version: VERSION,
            closed_at: None,
            hides_cold: false,
            informed: BTreeMap::new(),
            peak_informed: 0,
            starts: Vec::new(),
            boot: 1,
            down_until: Time::ZERO,
            running: BTreeMap::new(),
        }
    }

    /// Starts a request, or returns its completion. A silent connection returns nothing.
    pub fn start(
        &mut self,
        task: u64,
        shard: &Name,
        gate: &Name,
        now: Time,
    ) -> Result<(), Option<Completion>> {
        if self.is_silent {
            return Err(None);
        }
        if now < self.down_until {
            return Err(Some(self.refuse(Refusal::Unreachable, false)));
        }
        if self.is_leaving {
            return Err(Some(self.refuse(Refusal::ServerLeaving, true)));
        }
        if !self.holds.contains(&VERSION) {
            return Err(Some(self.refuse(Refusal::NotHeld(self.holds.clone()), true)));
        }
        self.starts.push((now, task, shard.clone()));
        self.running.insert(task, shard.clone());
        let is_informed = self.informed.get(gate).is_some_and(|it| now > *it + MAX_TRANSIT_TIME);
        if self.is_cold && is_informed {
            self.peak_informed = self.peak_informed.max(self.running.len());
        }
        Ok(())
    }

    /// Returns the factor by which the latency of a request exceeds that of a warm server.
    pub fn latency_factor(&self) -> u32 {
        if self.is_cold { 1 + 3 * self.running.len() as u32 } else { 1 }
    }

    /// Ends a request and returns its reply, unless the request was lost in a crash.
    pub fn finish(&mut self, task: u64) -> Option<Completion> {
        let shard = self.running.remove(&task)?;
        let hits = serde_json::json!([{ "key": shard, "score": 1.0, "document": null }]);
        let reply = Reply {
            snapshot: self.reply_version,
            holds: self.holds.clone(),
            hits: to_raw_value(&hits).expect("hits are valid JSON"),
        };
        Some(Completion { outcome: Outcome::Served(reply), report: Some(self.report()) })
    }

    /// Crashes the server and returns the completions of its running requests.
    pub fn crash(&mut self, now: Time) -> Vec<(u64, Completion)> {
        self.boot += 1;
        self.is_cold = true;
        self.down_until = now + std::time::Duration::from_millis(30);
        let crashed = || Completion { outcome: Outcome::Failed(Failure::Crashed), report: None };
        std::mem::take(&mut self.running).into_keys().map(|it| (it, crashed())).collect()
    }

    /// Returns the health of the server, unless it is down. Health requests use a new connection,
    /// which is not silent.
    pub fn health(&self, now: Time) -> Option<Report> {
        (now >= self.down_until).then(|| self.report())
    }

    fn refuse(&self, refusal: Refusal, reports: bool) -> Completion {
        let report = reports.then(|| self.report());
        Completion { outcome: Outcome::Refused(refusal), report }
    }

    fn report(&self) -> Report {
        let condition = match (self.is_leaving, self.is_cold && !self.hides_cold) {
            (true, _) => Condition::Leaving,
            (false, true) => Condition::Cold,
            (false, false) => Condition::Warm,
        };
        Report { boot: self.boot, condition, running: self.running.len() as u32 }
    }
}
