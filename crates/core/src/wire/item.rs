use serde::{Deserialize, Serialize};

use crate::outcome::{Hint, Outcome};

/// One item of the stream that answers a call: the result of one sub-request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Item {
    /// The number of the attempt within its query.
    pub attempt: u32,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The state of the server as the gate knows it.
    pub hint: Hint,
}
