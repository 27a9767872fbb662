use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Target;
use crate::name::Name;

/// How one kind of request is served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rule {
    /// The name of the rule.
    pub name: Name,
    /// The host that a request names, in lower case.
    pub host: Name,
    /// What the path of a request begins with.
    pub prefix: Name,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// The most servers to which a request may be sent, for each shard.
    pub attempts: u32,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// The rank of the requests; zero is the most urgent.
    pub priority: u32,
    /// Where the requests go.
    pub target: Target,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeat {
    /// It may: running it twice does no harm.
    Idempotent,
    /// It may not: at most one server may begin to run it.
    Once,
}
