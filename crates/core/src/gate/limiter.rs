use std::time::Duration;

use super::{Condition, Rank, Report, Settings};
use crate::{outcome::Trust, time::Time};

/// Weight of a new sample in the usual latency, as a divisor.
const LATENCY_WEIGHT: u32 = 16;

/// Weight of a sample far above the usual latency, as a divisor. A cold server must not pass for a
/// warm one by being slow for long.
const HIGH_WEIGHT: u32 = 64;

/// Gates that may believe at once that they serve a block.
pub const RANKED_GATES: u32 = 3;

/// The concurrency limit of one server: starts at one, rises on evidence, falls on doubt.
#[derive(Clone, Debug)]
pub struct Limiter {
    slots: u32,
    rank: Rank,
    limit: u32,
    trust: Trust,
    successes: u32,
    slow: u32,
    usual: Option<Duration>,
    last_reply: Option<Time>,
    boot: Option<u64>,
    foreign: u32,
    foreign_until: Time,
}

impl Limiter {
    /// Creates the limiter of a server about which nothing is known.
    pub fn new(slots: u32, rank: Rank) -> Limiter {
        Limiter {
            slots,
            rank,
            limit: 1,
            trust: Trust::Cold,
            successes: 0,
            slow: 0,
            usual: None,
            last_reply: None,
            boot: None,
            foreign: 0,
            foreign_until: Time::ZERO,
        }
    }

    /// Changes the slots of the server and the rank of the gate. Never raises the limit.
    pub fn set_share(&mut self, slots: u32, rank: Rank) {
        let regained = self.rank == Rank::Standby && rank == Rank::Primary;
        self.slots = slots;
        self.rank = rank;
        self.limit = self.limit.min(self.cap());
        if regained {
            self.doubt();
        }
    }

    /// Returns how many requests may run at once.
    pub fn limit(&self, now: Time) -> u32 {
        let foreign = if now < self.foreign_until { self.foreign } else { 0 };
        let floor = if self.rank == Rank::Standby { 0 } else { 1 };
        let room = self.slots.saturating_sub(foreign);
        self.limit.min(room).max(floor)
    }

    /// Returns how far the server is trusted.
    pub fn trust(&self) -> Trust {
        self.trust
    }

    /// Returns the usual latency of the server, if it has served anything.
    pub fn usual(&self) -> Option<Duration> {
        self.usual
    }

    /// Takes note of a served request. Only a latency near the usual one is evidence for a higher
    /// limit; a streak of slow ones is evidence that the server has turned cold.
    pub fn on_served(&mut self, latency: Duration, now: Time, settings: &Settings) {
        self.last_reply = Some(now);
        let usual = self.usual.unwrap_or(latency);
        let is_high = latency > usual * settings.rise_factor;
        self.learn(latency.min(usual * settings.rise_factor), is_high);
        if latency > usual * settings.slow_factor {
            self.slow += 1;
            self.successes = 0;
            if self.slow >= settings.slow_streak {
                self.doubt();
            }
            return;
        }
        self.slow = 0;
        if is_high {
            return;
        }
        self.successes += 1;
        if self.successes >= settings.ramp_successes {
            self.rise();
        }
    }

    /// Takes note that the server had no room.
    pub fn on_shed(&mut self, now: Time) {
        self.last_reply = Some(now);
        self.successes = 0;
        self.limit = (self.limit - self.limit.div_ceil(4)).max(1);
        self.trust = self.trust.max(Trust::Ramping);
    }

    /// Takes note of what the server says of itself. `own` is the number of requests of this
    /// gate that the server may have counted as running.
    pub fn on_report(&mut self, report: &Report, own: u32, now: Time, settings: &Settings) {
        if self.boot.is_some_and(|it| it != report.boot) {
            self.doubt();
        }
        self.boot = Some(report.boot);
        if report.condition == Condition::Cold {
            self.doubt();
        }
        self.foreign = report.running.saturating_sub(own);
        self.foreign_until = now + settings.foreign_ttl;
    }

    /// Forgets the evidence for the server: it may be cold. The usual latency stays, to tell when
    /// the server is warm again.
    pub fn doubt(&mut self) {
        self.limit = 1;
        self.trust = Trust::Cold;
        self.successes = 0;
        self.slow = 0;
    }

    /// Doubts the server if it has been silent for long.
    pub fn on_tick(&mut self, now: Time, settings: &Settings) {
        let Some(last) = self.last_reply else { return };
        if now.since(last) > settings.idle_after {
            self.last_reply = None;
            self.doubt();
        }
    }

    fn cap(&self) -> u32 {
        match self.rank {
            Rank::Primary => self.slots,
            Rank::Standby => (self.slots / RANKED_GATES).max(1),
            Rank::Shared(gates) => (self.slots / gates.max(1)).max(1),
        }
    }

    fn rise(&mut self) {
        self.successes = 0;
        self.limit = (self.limit + 1).min(self.cap());
        self.trust = if self.limit == self.cap() { Trust::Warm } else { Trust::Ramping };
    }

    fn learn(&mut self, sample: Duration, is_high: bool) {
        let weight = if is_high { HIGH_WEIGHT } else { LATENCY_WEIGHT };
        let usual = self.usual.unwrap_or(sample);
        self.usual = Some((usual * (weight - 1) + sample) / weight);
    }
}
