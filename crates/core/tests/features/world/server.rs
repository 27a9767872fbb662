use std::collections::BTreeMap;

use mimosabridge::{
    gate::{Completion, Condition, Report},
    name::Name,
    outcome::{Failure, Outcome, Refusal, Reply},
    time::Time,
};
use serde_json::value::to_raw_value;

use super::{ON_THE_WAY, VERSION};

/// A fake server that keeps an account of what it was given.
pub struct FakeServer {
    pub is_leaving: bool,
    pub is_cold: bool,
    pub is_silent: bool,
    pub holds: Vec<u64>,
    pub answers: u64,
    pub closed_at: Option<Time>,
    /// The server reports to be warm while it is cold.
    pub hides_cold: bool,
    /// The gates that were told that the server is cold, and when.
    pub told: BTreeMap<Name, Time>,
    /// The most requests that ran at once after a start by a gate that was told.
    pub peak_told: usize,
    /// Every start: when, for which attempt and shard.
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
            answers: VERSION,
            closed_at: None,
            hides_cold: false,
            told: BTreeMap::new(),
            peak_told: 0,
            starts: Vec::new(),
            boot: 1,
            down_until: Time::ZERO,
            running: BTreeMap::new(),
        }
    }

    /// Starts a request, or returns how it ends. Nothing comes back over a silent connection.
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
        let knows = self.told.get(gate).is_some_and(|it| now > *it + ON_THE_WAY);
        if self.is_cold && knows {
            self.peak_told = self.peak_told.max(self.running.len());
        }
        Ok(())
    }

    /// Returns how many times longer than usual a request runs.
    pub fn slowness(&self) -> u32 {
        if self.is_cold { 1 + 3 * self.running.len() as u32 } else { 1 }
    }

    /// Ends a request and returns its reply, unless it was cancelled or lost in a crash.
    pub fn finish(&mut self, task: u64) -> Option<Completion> {
        let shard = self.running.remove(&task)?;
        let hits = serde_json::json!([{ "key": shard, "score": 1.0, "document": null }]);
        let reply = Reply {
            snapshot: self.answers,
            holds: self.holds.clone(),
            hits: to_raw_value(&hits).expect("hits are valid JSON"),
        };
        Some(Completion { outcome: Outcome::Served(reply), report: Some(self.report()) })
    }

    /// Breaks every connection, and returns how the requests on them end.
    pub fn crash(&mut self, now: Time) -> Vec<(u64, Completion)> {
        self.boot += 1;
        self.is_cold = true;
        self.down_until = now + std::time::Duration::from_millis(30);
        let crashed = || Completion { outcome: Outcome::Failed(Failure::Crashed), report: None };
        std::mem::take(&mut self.running).into_keys().map(|it| (it, crashed())).collect()
    }

    /// Tells its health, unless the server is down. A new connection is not silent.
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
