use crate::{name::Name, time::Time};

/// One shard of a request under way.
#[derive(Clone, Debug)]
pub(super) struct Shard {
    /// The service that is the shard.
    pub service: Name,
    /// The servers to which the request was sent.
    pub tried: Vec<Name>,
    /// Servers that may not be tried again.
    pub spent: Vec<Name>,
    /// The attempts that may have reached a server.
    pub sends: u32,
    /// The attempts that have not ended.
    pub under_way: usize,
    /// When a second server is asked.
    pub hedge_at: Option<Time>,
    /// How far the shard is.
    pub state: State,
}

/// How far a shard is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// No attempt is under way; one is to be made.
    Waiting,
    /// An attempt is under way.
    Sent,
    /// The attempt with this number was served.
    Served(usize),
    /// Nothing more can be done for it.
    Lost,
}

impl Shard {
    /// Creates a shard without attempts.
    pub fn new(service: Name) -> Shard {
        Shard {
            service,
            tried: Vec::new(),
            spent: Vec::new(),
            sends: 0,
            under_way: 0,
            hedge_at: None,
            state: State::Waiting,
        }
    }

    /// Returns whether an attempt was served.
    pub fn is_served(&self) -> bool {
        self.served().is_some()
    }

    /// Returns the attempt that was served.
    pub fn served(&self) -> Option<usize> {
        match self.state {
            State::Served(number) => Some(number),
            State::Waiting | State::Sent | State::Lost => None,
        }
    }
}
