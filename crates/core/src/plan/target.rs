use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Where the requests of a rule go.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Target {
    /// To one server of a service.
    One(Name),
    /// To one server of one of several services.
    Split(Vec<Share>),
    /// To one server of each shard.
    All(Gather),
}

/// The share of a service in a split.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// The weight of the service, relative to the sum of all weights of the split.
    pub weight: f64,
}

/// How the answers of shards are merged into one answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gather {
    /// The shards, each a service.
    pub shards: Vec<Name>,
    /// The number of records in the answer.
    pub top: usize,
    /// The minimum share of the shards, from 0 to 1, that must answer for the request to succeed.
    pub least: f64,
}

impl Gather {
    /// Returns the minimum number of shards that must answer, which is at least one: a successful
    /// answer names at least one shard.
    pub fn needed(&self) -> usize {
        // The share is a decimal fraction. Without this tolerance, 0.9 of ten shards could be
        // rounded up to ten.
        const EPSILON: f64 = 1e-9;
        let needed = (self.least * self.shards.len() as f64 - EPSILON).ceil();
        (needed.max(1.0) as usize).min(self.shards.len().max(1))
    }
}
