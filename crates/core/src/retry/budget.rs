use std::time::Duration;

use crate::time::Time;

/// One token. Tokens are counted in hundredths, so that fractions add up exactly.
const TOKEN: u64 = 100;

/// The time over which the tokens that successes earn decide the capacity.
const WINDOW: Duration = Duration::from_secs(10);

/// A token bucket that retries and hedges share: each success earns a fraction of a token, and each
/// extra attempt costs one token.
///
/// When everything fails, nothing is earned, and the extra load ends when the tokens run out. The
/// capacity is what the last ten seconds earned, so that the tokens suffice to retry the requests
/// of a lost gate at any rate of requests. Hedges leave half of the capacity to retries, which
/// replace attempts that are certainly lost.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u64,
    min_capacity: u64,
    capacity: u64,
    available: u64,
    earned: u64,
    window_start: Time,
}

impl Budget {
    /// Creates a full budget that earns `percent` hundredths of a token per success and has a
    /// capacity of at least `min_capacity` tokens.
    pub fn new(percent: u32, min_capacity: u32) -> Budget {
        let min_capacity = u64::from(min_capacity) * TOKEN;
        Budget {
            percent: u64::from(percent),
            min_capacity,
            capacity: min_capacity,
            available: min_capacity,
            earned: 0,
            window_start: Time::ZERO,
        }
    }

    /// Adds what a success earns.
    pub fn earn(&mut self, now: Time) {
        if now.since(self.window_start) >= WINDOW {
            self.capacity = self.earned.max(self.min_capacity);
            self.earned = 0;
            self.window_start = now;
        }
        self.earned += self.percent;
        self.available = (self.available + self.percent).min(self.capacity);
    }

    /// Spends a token on a retry of a lost attempt. Returns whether there was one.
    pub fn spend_retry(&mut self) -> bool {
        self.spend(0)
    }

    /// Spends a token on a hedge of an attempt that may still succeed. Returns whether there was
    /// one beyond the reserve for retries.
    pub fn spend_hedge(&mut self) -> bool {
        self.spend(self.capacity / 2)
    }

    /// Gives back the token of an attempt that did not run.
    pub fn refund(&mut self) {
        self.available = (self.available + TOKEN).min(self.capacity);
    }

    /// Returns the number of whole tokens that are left.
    pub fn tokens(&self) -> u64 {
        self.available / TOKEN
    }

    fn spend(&mut self, reserve: u64) -> bool {
        if self.available < reserve + TOKEN {
            return false;
        }
        self.available -= TOKEN;
        true
    }
}
