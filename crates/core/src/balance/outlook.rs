use std::time::Duration;

/// How soon a service may answer. Services that can be tried at once compare less.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Outlook {
    /// All servers are out of reach.
    pub is_down: bool,
    /// The time until the answer of the best server, if it is reached.
    pub answer: Duration,
}
