use serde::{Deserialize, Serialize};

use crate::gate::Report;

/// The body of the answer to a health check.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Health {
    /// The condition and load of the server.
    pub server: Report,
    /// The versions of its index that the server holds.
    pub holds: Vec<u64>,
}
