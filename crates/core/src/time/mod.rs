//! Points in time, which are passed in with each event and never read from a clock.

use std::{ops::Add, time::Duration};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an origin that the driver chooses.
///
/// Values from different processes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The origin, at zero microseconds.
    pub const ZERO: Time = Time(0);

    /// Creates a time from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Creates a time from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time that is `span` earlier, or the origin if that would be before it.
    pub fn before(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.as_micros() as u64))
    }

    /// Returns the duration until `later`, or zero if `later` has passed.
    pub fn until(self, later: Time) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span.as_micros() as u64))
    }
}
