use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Target;
use crate::name::Name;

/// How the requests with a host and a path prefix are served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rule {
    /// The name of the rule.
    pub name: Name,
    /// The host that a request names, in lower case.
    pub host: Name,
    /// The prefix of the paths of the requests.
    pub prefix: Name,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// The maximum number of servers that a request may be sent to, for each shard.
    pub attempts: u32,
    /// The maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// The target latency. An answer within this time is worth most.
    pub objective: Duration,
    /// The priority of the requests; zero is the most urgent.
    pub priority: u32,
    /// Where the requests go.
    pub target: Target,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeat {
    /// The request may run more than once: running it twice does no harm.
    Idempotent,
    /// The request must not run more than once: at most one server may begin to run it.
    Once,
}
