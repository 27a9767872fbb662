use serde::{Deserialize, Serialize};

/// The priority class of a request, most urgent first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the answer.
    Interactive,
    /// A planning job waits for the answer.
    Planning,
    /// Background work: nothing waits for the answer.
    Batch,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Class; 3] = [Class::Interactive, Class::Planning, Class::Batch];
}
