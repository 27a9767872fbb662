use std::time::Duration;

use super::{Condition, Rank, Report, Settings};
use crate::{outcome::Trust, time::Time};

/// Divisor of the weight that a new sample has in the moving average of the latency.
const LATENCY_WEIGHT: u32 = 16;

/// Divisor of the weight that a sample far above the usual latency has. It is larger, so that a
/// server that is cold for long does not raise the average until it counts as warm.
const OUTLIER_WEIGHT: u32 = 64;

/// The number of gates ranked for each block. While gates disagree about which of them are alive, up
/// to this many may act as the primary of a block at once.
pub const RANKED_GATES: u32 = 3;

/// The concurrency limit of one server.
///
/// It starts at one, rises by one after each series of successful requests and falls when the
/// server sheds load or may be cold.
#[derive(Clone, Debug)]
pub struct Limiter {
    slots: u32,
    rank: Rank,
    limit: u32,
    trust: Trust,
    successes: u32,
    slow: u32,
    usual_latency: Option<Duration>,
    last_reply: Option<Time>,
    boot: Option<u64>,
    foreign: u32,
    foreign_until: Time,
}

impl Limiter {
    /// Creates the limiter of a server that has not served any request yet.
    pub fn new(slots: u32, rank: Rank) -> Limiter {
        Limiter {
            slots,
            rank,
            limit: 1,
            trust: Trust::Cold,
            successes: 0,
            slow: 0,
            usual_latency: None,
            last_reply: None,
            boot: None,
            foreign: 0,
            foreign_until: Time::ZERO,
        }
    }

    /// Changes the slots of the server and the rank of the gate. Never raises the limit; if a
    /// standby becomes the primary, the limit starts again at one.
    pub fn set_share(&mut self, slots: u32, rank: Rank) {
        let takes_over = self.rank == Rank::Standby && rank == Rank::Primary;
        self.slots = slots;
        self.rank = rank;
        self.limit = self.limit.min(self.cap());
        if takes_over {
            self.restart_ramp();
        }
    }

    /// Returns how many requests of this gate may run at once.
    pub fn limit(&self, now: Time) -> u32 {
        let foreign = if now < self.foreign_until { self.foreign } else { 0 };
        let floor = if self.rank == Rank::Standby { 0 } else { 1 };
        let room = self.slots.saturating_sub(foreign);
        self.limit.min(room).max(floor)
    }

    /// Returns how far the limit has risen.
    pub fn trust(&self) -> Trust {
        self.trust
    }

    /// Returns the moving average of the latency, if the server has served any request.
    pub fn usual_latency(&self) -> Option<Duration> {
        self.usual_latency
    }

    /// Records a served request. Only a latency near the usual one counts towards a higher limit; a
    /// series of slow requests indicates that the server has turned cold and restarts the ramp.
    pub fn on_served(&mut self, latency: Duration, now: Time, settings: &Settings) {
        self.last_reply = Some(now);
        let usual = self.usual_latency.unwrap_or(latency);
        let is_outlier = latency > usual * settings.rise_factor;
        self.record_latency(latency.min(usual * settings.rise_factor), is_outlier);
        if latency > usual * settings.slow_factor {
            self.slow += 1;
            self.successes = 0;
            if self.slow >= settings.slow_streak {
                self.restart_ramp();
            }
            return;
        }
        self.slow = 0;
        if is_outlier {
            return;
        }
        self.successes += 1;
        if self.successes >= settings.ramp_successes {
            self.raise_limit();
        }
    }

    /// Records that the server shed a request, and lowers the limit by a quarter, rounded up.
    pub fn on_shed(&mut self, now: Time) {
        self.last_reply = Some(now);
        self.successes = 0;
        self.limit = (self.limit - self.limit.div_ceil(4)).max(1);
        self.trust = self.trust.max(Trust::Ramping);
    }

    /// Records the status that the server reports. `own` is the number of requests of this gate
    /// that the server may have counted as running.
    pub fn on_report(&mut self, report: &Report, own: u32, now: Time, settings: &Settings) {
        if self.boot.is_some_and(|it| it != report.boot) {
            self.restart_ramp();
        }
        self.boot = Some(report.boot);
        if report.condition == Condition::Cold {
            self.restart_ramp();
        }
        self.foreign = report.running.saturating_sub(own);
        self.foreign_until = now + settings.foreign_ttl;
    }

    /// Sets the limit back to one, because the server may be cold. The usual latency is kept, to
    /// detect when the server is warm again.
    pub fn restart_ramp(&mut self) {
        self.limit = 1;
        self.trust = Trust::Cold;
        self.successes = 0;
        self.slow = 0;
    }

    /// Restarts the ramp if the server has not replied for [`Settings::idle_after`].
    pub fn on_tick(&mut self, now: Time, settings: &Settings) {
        let Some(last) = self.last_reply else { return };
        if now.since(last) > settings.idle_after {
            self.last_reply = None;
            self.restart_ramp();
        }
    }

    fn cap(&self) -> u32 {
        match self.rank {
            Rank::Primary => self.slots,
            Rank::Standby => (self.slots / RANKED_GATES).max(1),
            Rank::Shared(gates) => (self.slots / gates.max(1)).max(1),
        }
    }

    fn raise_limit(&mut self) {
        self.successes = 0;
        self.limit = (self.limit + 1).min(self.cap());
        self.trust = if self.limit == self.cap() { Trust::Warm } else { Trust::Ramping };
    }

    fn record_latency(&mut self, sample: Duration, is_outlier: bool) {
        let weight = if is_outlier { OUTLIER_WEIGHT } else { LATENCY_WEIGHT };
        let usual = self.usual_latency.unwrap_or(sample);
        self.usual_latency = Some((usual * (weight - 1) + sample) / weight);
    }
}
