use std::time::Duration;

/// Settings of the membership protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The time between two probes.
    pub probe_interval: Duration,
    /// How long a probed node may take to answer before others are asked to probe it.
    pub ack_timeout: Duration,
    /// The number of nodes that are asked to probe a node that does not answer.
    pub indirect_probes: usize,
    /// How long a suspect may take to refute before it counts as dead.
    pub suspicion_timeout: Duration,
    /// How long the record of a dead node is kept, so that outdated news does not revive it.
    pub dead_retention: Duration,
    /// The number of nodes to which urgent news is pushed at once.
    pub fanout: usize,
    /// The time without any packet after which this node counts as isolated.
    pub isolation_timeout: Duration,
    /// The time since the last read of the platform by any node in reach, after which a minority of
    /// the fleet counts as isolated.
    pub platform_timeout: Duration,
    /// One probe round in this many also probes a node that is recorded as dead.
    pub reconnect_one_in: u32,
    /// The shortest time between two exchanges of rosters. It doubles with each exchange that does
    /// not make them equal, up to [`Settings::max_sync_interval`].
    pub min_sync_interval: Duration,
    /// The longest time between two exchanges of rosters, while they differ.
    pub max_sync_interval: Duration,
    /// The number of packets in a row with a different roster digest that lead to an exchange of
    /// rosters.
    pub sync_threshold: u32,
}

impl Settings {
    /// Creates the default settings.
    pub fn new() -> Settings {
        Settings {
            probe_interval: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            indirect_probes: 2,
            suspicion_timeout: Duration::from_secs(4),
            dead_retention: Duration::from_secs(3_600),
            fanout: 3,
            isolation_timeout: Duration::from_secs(6),
            platform_timeout: Duration::from_secs(8),
            reconnect_one_in: 4,
            min_sync_interval: Duration::from_secs(2),
            max_sync_interval: Duration::from_secs(32),
            sync_threshold: 12,
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings::new()
    }
}
