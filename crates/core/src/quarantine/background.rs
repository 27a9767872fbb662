use std::time::Duration;

use crate::time::Time;

/// The time constant with which the counts decay.
const DECAY: Duration = Duration::from_secs(1);

/// The attempts that are assumed besides those that are counted, and the losses among them.
const ASSUMED: (f64, f64) = (16.0, 0.5);

/// How often this node loses attempts, whatever their content: a node that is cut off loses all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Background {
    attempts: f64,
    losses: f64,
    updated: Time,
}

impl Background {
    /// Creates a background without attempts.
    pub fn new() -> Background {
        Background::default()
    }

    /// Records the end of an attempt that was sent to a server. Losses of a content that was
    /// lost before must be left out.
    pub fn on_end(&mut self, is_lost: bool, now: Time) {
        let kept = kept(self.updated, now);
        self.attempts = self.attempts * kept + 1.0;
        self.losses = self.losses * kept + f64::from(is_lost);
        self.updated = now;
    }

    /// Returns the share of the attempts that are lost, without `own` losses as of now.
    pub fn loss_share(&self, own: f64, now: Time) -> f64 {
        let kept = kept(self.updated, now);
        let losses = (self.losses * kept - own).max(0.0) + ASSUMED.1;
        let attempts = (self.attempts * kept - own).max(0.0) + ASSUMED.0;
        losses / attempts
    }
}

/// Returns how much an attempt that ended at a time counts now.
pub(super) fn kept(ended: Time, now: Time) -> f64 {
    (-now.since(ended).as_secs_f64() / DECAY.as_secs_f64()).exp()
}
