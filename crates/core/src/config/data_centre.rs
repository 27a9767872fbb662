use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A data centre with backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The name, unique among data centres.
    pub name: Name,
    /// The region that the data centre belongs to.
    pub region: Name,
    /// Whether the data centre receives new work.
    #[serde(default)]
    pub intake: Intake,
}

/// Whether a data centre receives new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Intake {
    /// The data centre receives new work.
    #[default]
    Open,
    /// Operators have taken the data centre out of service: it receives no new work.
    Closed,
}
