/// Hundredths of a token, so that fractions add up exactly.
const TOKEN: u32 = 100;

/// A budget that retries and hedges share: each success earns a fraction of a token, each extra
/// attempt costs one.
///
/// When everything fails, nothing is earned, and the extra load ends with the tokens in store.
#[derive(Clone, Debug)]
pub struct Budget {
    earned: u32,
    capacity: u32,
    store: u32,
}

impl Budget {
    /// Creates a full budget that earns `percent` hundredths of a token per success and stores
    /// `capacity` tokens.
    pub fn new(percent: u32, capacity: u32) -> Budget {
        let capacity = capacity * TOKEN;
        Budget { earned: percent, capacity, store: capacity }
    }

    /// Takes note of a success.
    pub fn earn(&mut self) {
        self.store = (self.store + self.earned).min(self.capacity);
    }

    /// Pays for an extra attempt. Returns whether there was a token.
    pub fn spend(&mut self) -> bool {
        if self.store < TOKEN {
            return false;
        }
        self.store -= TOKEN;
        true
    }

    /// Returns a token whose attempt was not run.
    pub fn refund(&mut self) {
        self.store = (self.store + TOKEN).min(self.capacity);
    }

    /// Returns the whole tokens in store.
    pub fn tokens(&self) -> u32 {
        self.store / TOKEN
    }
}
