use std::time::Duration;

use mimosabridge::name::Name;
use serde::Deserialize;
use serde_json::value::RawValue;

/// The body of `POST /v1/query`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Input {
    /// The rule to be served by.
    pub rule: Name,
    /// The query, passed on to the servers as it is.
    pub query: Box<RawValue>,
    /// Milliseconds after which the answer is of no more use; the rule's deadline caps it.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// A request that was read and found whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// The rule to be served by.
    pub rule: Name,
    /// The query, passed on to the servers as it is.
    pub query: Box<RawValue>,
    /// How long the answer is of use, if less than the rule allows.
    pub budget: Option<Duration>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

impl From<Input> for Request {
    fn from(input: Input) -> Request {
        Request {
            rule: input.rule,
            query: input.query,
            budget: input.deadline_ms.map(Duration::from_millis),
            idempotent: true,
        }
    }
}
