use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The limits on the size and the duration of requests and on idle connections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// The maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// The maximum size of the body of a request, in bytes.
    pub body_bytes: usize,
    /// The maximum time in which the head of a request must arrive.
    pub head_time: Duration,
    /// The maximum time that a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
