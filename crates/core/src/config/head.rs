use serde::{Deserialize, Serialize};

use super::Stamp;

/// What is published under the key `head`: which configuration is the latest, and its lineage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The configuration that is published.
    pub stamp: Stamp,
    /// The configurations that it follows, newest first. The first is the one it replaces.
    pub lineage: Vec<Stamp>,
    /// The number of parts that hold the content.
    pub parts: usize,
}

impl Head {
    /// The key of the head.
    pub const KEY: &'static str = "head";

    /// Returns the key of a part, counted from 0.
    pub fn part_key(&self, part: usize) -> String {
        format!("part-{}-{part}", self.stamp)
    }

    /// Returns the key of the change from the configuration that was replaced.
    pub fn change_key(&self) -> String {
        format!("change-{}", self.stamp)
    }
}
