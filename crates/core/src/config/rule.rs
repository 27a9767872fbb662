use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Class;
use crate::name::Name;

/// The settings for requests that name this rule.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The name that callers use, unique among rules.
    pub name: Name,
    /// The index to query.
    pub index: Name,
    /// The services to query.
    pub services: Vec<Name>,
    /// The priority class of requests.
    pub class: Class,
    /// The longest time that a request may take, in milliseconds.
    pub deadline_ms: u64,
    /// The latency quantile after which a request to a shard is hedged on another server, in
    /// `(0, 1)`.
    #[serde(default = "default_hedge_quantile")]
    pub hedge_quantile: f64,
    /// The number of shards above which a content that is new to the entry is first sent to one
    /// shard as a canary, to detect whether it crashes servers.
    #[serde(default = "default_canary_over")]
    pub canary_over: usize,
    /// Whether hits with the same key from several shards are merged into one.
    #[serde(default)]
    pub deduplicate: bool,
    /// The most hits in an answer.
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
