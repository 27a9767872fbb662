use serde::{Deserialize, Serialize};

use super::{Limits, Rule, Service};

/// A version of the configuration in its published form, which nodes pass on to one another.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Spec {
    /// The version.
    pub version: u64,
    /// The limits on requests of callers.
    pub limits: Limits,
    /// The rules.
    pub rules: Vec<Rule>,
    /// The services.
    pub services: Vec<Service>,
}
