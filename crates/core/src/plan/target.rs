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

/// The part of a service in a split.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its weight among the weights of the split.
    pub weight: f64,
}

/// How the answers of the shards make up one answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gather {
    /// The shards, each a service.
    pub shards: Vec<Name>,
    /// Records in the answer.
    pub top: usize,
    /// The least share of the shards, from 0 to 1, without which there is no answer.
    pub least: f64,
}

impl Gather {
    /// Returns how many shards an answer needs at least. A success names at least one.
    pub fn needed(&self) -> usize {
        // The share is a decimal fraction: without the slack, 0.9 of ten shards could become ten.
        const ROUNDING: f64 = 1e-9;
        let needed = (self.least * self.shards.len() as f64 - ROUNDING).ceil();
        (needed.max(1.0) as usize).min(self.shards.len().max(1))
    }
}
