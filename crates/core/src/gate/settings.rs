use std::time::Duration;

/// Settings of a gate that apply to all its servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The queue capacity per slot of a server.
    pub queue_per_slot: u32,
    /// The wait of the oldest request beyond which the newest request is served first.
    pub overload_wait: Duration,
    /// The number of successes at one limit before the limit rises by one.
    pub ramp_successes: u32,
    /// A request counts as a success if its latency is at most this many times the usual one.
    pub rise_factor: u32,
    /// A request counts as slow if its latency is more than this many times the usual one.
    pub slow_factor: u32,
    /// The number of consecutive slow replies after which a server counts as cold.
    pub slow_streak: u32,
    /// The time without any reply after which a server counts as cold.
    pub idle_after: Duration,
    /// How long a server's report of the load from other senders stays valid.
    pub foreign_ttl: Duration,
    /// The time between attempts to reach a server that cannot be reached.
    pub down_backoff: Duration,
    /// The age of an unanswered request at which the server is probed.
    pub probe_after: Duration,
    /// The longest time that a reply may take to arrive once the server has sent it.
    pub reply_grace: Duration,
    /// The shortest pause of the process after which the state of its servers counts as outdated.
    pub pause_limit: Duration,
}

impl Settings {
    /// Creates the default settings.
    pub fn new() -> Settings {
        Settings {
            queue_per_slot: 8,
            overload_wait: Duration::from_millis(100),
            ramp_successes: 4,
            rise_factor: 2,
            slow_factor: 5,
            slow_streak: 4,
            idle_after: Duration::from_secs(30),
            foreign_ttl: Duration::from_secs(1),
            down_backoff: Duration::from_millis(500),
            probe_after: Duration::from_millis(250),
            reply_grace: Duration::from_millis(50),
            pause_limit: Duration::from_secs(2),
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings::new()
    }
}
