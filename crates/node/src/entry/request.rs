use std::time::Duration;

use mimosabridge::{fingerprint::Fingerprint, name::Name, ticket::Ticket};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The body of `POST /v1/query`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Input {
    /// The name of the rule that the request is served by.
    pub rule: Name,
    /// The query, passed to the servers unchanged.
    pub query: Box<RawValue>,
    /// Milliseconds after which the caller no longer needs the answer, capped by the rule's
    /// deadline.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether the request may run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// The ticket of a request that is not idempotent.
    #[serde(default)]
    pub ticket: Option<Ticket>,
}

/// A request that was parsed from a body.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Request {
    /// The name of the rule that the request is served by.
    pub rule: Name,
    /// The query, passed to the servers unchanged.
    pub query: Box<RawValue>,
    /// How long the caller needs the answer, if less than the rule allows.
    pub budget: Option<Duration>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The trace context of the caller, as W3C defines it.
    pub trace: Option<String>,
}

impl Request {
    /// Returns the fingerprint of the content: the rule and the query.
    pub fn content(&self) -> Fingerprint {
        Fingerprint::new(&self.rule, self.query.get().as_bytes())
    }
}

impl From<Input> for Request {
    fn from(input: Input) -> Request {
        Request {
            rule: input.rule,
            query: input.query,
            budget: input.deadline_ms.map(Duration::from_millis),
            idempotent: input.idempotent && input.ticket.is_none(),
            trace: None,
        }
    }
}

fn default_idempotent() -> bool {
    true
}
