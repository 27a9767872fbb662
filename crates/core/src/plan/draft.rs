use serde::{Deserialize, Serialize};

use super::{Limits, Rule, Service};

/// A version of the configuration as it is published, in a form that nodes can pass on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Draft {
    /// The version.
    pub version: u64,
    /// The limits on callers.
    pub limits: Limits,
    /// The rules.
    pub rules: Vec<Rule>,
    /// The services.
    pub services: Vec<Service>,
}
