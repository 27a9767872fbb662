use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a caller may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// The most bytes of the head of a request.
    pub head_bytes: usize,
    /// The most bytes of the body of a request.
    pub body_bytes: usize,
    /// How long the head of a request may take to arrive.
    pub head_time: Duration,
    /// How long a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// The limits until a configuration is known.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
