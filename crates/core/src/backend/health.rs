use serde::{Deserialize, Serialize};

use crate::gate::Report;

/// What a server says of itself when asked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Health {
    /// The condition and load of the server.
    pub server: Report,
    /// The versions of its index that the server holds.
    pub holds: Vec<u64>,
}
