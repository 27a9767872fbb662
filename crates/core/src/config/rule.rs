use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Class;
use crate::name::Name;

/// How the callers that name this rule are served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The name that callers use, unique among rules.
    pub name: Name,
    /// The index that is queried.
    pub index: Name,
    /// The services that a query reaches.
    pub services: Vec<Name>,
    /// The priority class of the requests.
    pub class: Class,
    /// The longest time that a request may take, in milliseconds.
    pub deadline_ms: u64,
    /// The latency quantile after which a missing shard is asked again elsewhere, in `(0, 1)`.
    #[serde(default = "default_hedge_quantile")]
    pub hedge_quantile: f64,
    /// The number of shards above which a content that is new to the entry is first tried on one
    /// shard, to learn whether it crashes servers.
    #[serde(default = "default_canary_over")]
    pub canary_over: usize,
    /// Whether hits with the same key from several shards are merged into one.
    #[serde(default)]
    pub deduplicate: bool,
    /// The most hits that an answer holds.
    #[serde(default = "default_max_hits")]
    pub max_hits: usize,
}

impl Rule {
    /// Returns the longest time that a request may take.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

fn default_hedge_quantile() -> f64 {
    0.95
}

fn default_canary_over() -> usize {
    16
}

fn default_max_hits() -> usize {
    1_000
}
