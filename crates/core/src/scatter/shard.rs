use crate::{name::Name, time::Time};

/// The progress of a request at one of its shards.
#[derive(Clone, Debug)]
pub(super) struct Shard {
    /// The service whose servers hold the shard.
    pub service: Name,
    /// The servers that the request was sent to, without those that were unreachable.
    pub tried: Vec<Name>,
    /// The servers that must not be tried again.
    pub excluded: Vec<Name>,
    /// The number of attempts that may have reached a server.
    pub sends: u32,
    /// Whether an attempt was lost that may have run.
    pub has_loss: bool,
    /// The number of attempts that have not ended.
    pub under_way: usize,
    /// When the next attempt is due, while the shard waits for one.
    pub due: Time,
    /// Whether the request waits for a connection to a server.
    pub is_queued: bool,
    /// When a hedge is due, if one is planned.
    pub hedge_at: Option<Time>,
    /// The state of the shard.
    pub state: State,
}

/// The state of a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// No attempt is under way; the next one is due.
    Waiting,
    /// An attempt is under way.
    Sent,
    /// The attempt with this number succeeded.
    Served(usize),
    /// No attempt succeeded and no further one will be made.
    Lost,
}

impl Shard {
    /// Creates a shard without attempts.
    pub fn new(service: Name, now: Time) -> Shard {
        Shard {
            service,
            tried: Vec::new(),
            excluded: Vec::new(),
            sends: 0,
            has_loss: false,
            under_way: 0,
            due: now,
            is_queued: false,
            hedge_at: None,
            state: State::Waiting,
        }
    }

    /// Returns whether an attempt succeeded.
    pub fn is_served(&self) -> bool {
        self.served().is_some()
    }

    /// Returns the number of the attempt that succeeded.
    pub fn served(&self) -> Option<usize> {
        match self.state {
            State::Served(number) => Some(number),
            State::Waiting | State::Sent | State::Lost => None,
        }
    }
}
