use serde::{Deserialize, Serialize};

/// Priority classes of requests, most urgent first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits for the answer.
    Interactive,
    /// A plan waits for the answer.
    Planning,
    /// Nobody waits.
    Batch,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Class; 3] = [Class::Interactive, Class::Planning, Class::Batch];
}
