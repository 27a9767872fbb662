use std::time::Duration;

/// Settings of the exchange between nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time between two probes.
    pub round: Duration,
    /// How long a probed node may take to answer before others are asked to probe it.
    pub ack_timeout: Duration,
    /// Nodes that are asked to probe a node that does not answer.
    pub helpers: usize,
    /// How long a suspect may take to refute.
    pub suspicion: Duration,
    /// How long a dead node is remembered, so that old news does not revive it.
    pub memory: Duration,
    /// Nodes to which urgent news is pushed at once.
    pub fanout: usize,
    /// Time without any packet after which this node counts as isolated.
    pub isolation: Duration,
    /// Time without a read of the platform by any node that is heard, after which a minority of
    /// the fleet counts as isolated.
    pub platform_patience: Duration,
    /// One round in this many also probes a node that is believed dead.
    pub revive_one_in: u32,
    /// The least time between two exchanges of rosters. It doubles with each exchange that does
    /// not make them equal, up to [`Settings::sync_longest`].
    pub sync_shortest: Duration,
    /// The longest time between two exchanges of rosters, while they differ.
    pub sync_longest: Duration,
    /// Packets with a different roster, in a row, that lead to an exchange of rosters.
    pub sync_after: u32,
}

impl Settings {
    /// Creates the default settings.
    pub fn new() -> Settings {
        Settings {
            round: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            helpers: 2,
            suspicion: Duration::from_secs(4),
            memory: Duration::from_secs(3_600),
            fanout: 3,
            isolation: Duration::from_secs(6),
            platform_patience: Duration::from_secs(8),
            revive_one_in: 4,
            sync_shortest: Duration::from_secs(2),
            sync_longest: Duration::from_secs(32),
            sync_after: 12,
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings::new()
    }
}
