use serde::{Deserialize, Serialize};

use crate::outcome::{Hint, Outcome};

/// What became of one sub-request of a call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Item {
    /// The number of the attempt within its query.
    pub attempt: u32,
    /// What became of it.
    pub outcome: Outcome,
    /// What the gate knows of the server.
    pub hint: Hint,
}
