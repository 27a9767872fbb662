use std::time::Duration;

/// The additional time of a round trip that leaves the data centre of the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Distance {
    /// To another data centre of the same region.
    pub data_centre: Duration,
    /// To another region.
    pub region: Duration,
}

impl Distance {
    /// Creates the default distances.
    pub fn new() -> Distance {
        Distance { data_centre: Duration::from_millis(2), region: Duration::from_millis(40) }
    }
}

impl Default for Distance {
    fn default() -> Distance {
        Distance::new()
    }
}
