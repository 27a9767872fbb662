use serde::{Deserialize, Serialize};

use super::Stamp;

/// The head that is published under the key `head`: the stamp and lineage of the latest
/// configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The stamp of the published configuration.
    pub stamp: Stamp,
    /// The configurations that it may replace, newest first. The first is its predecessor.
    pub lineage: Vec<Stamp>,
    /// The number of parts that hold the content.
    pub parts: usize,
}

impl Head {
    /// The key under which the head is published.
    pub const KEY: &'static str = "head";

    /// Returns the key of a part of the content, counted from 0.
    pub fn part_key(&self, part: usize) -> String {
        format!("part-{}-{part}", self.stamp)
    }

    /// Returns the key of the change from the configuration that this one replaces.
    pub fn change_key(&self) -> String {
        format!("change-{}", self.stamp)
    }
}
