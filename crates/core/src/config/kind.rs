use std::fmt;

use serde::{Deserialize, Serialize};

/// The kind of a configuration object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A data centre.
    DataCentre,
    /// A group of backend servers that serve one part of an index.
    Service,
    /// A backend server.
    Server,
    /// A part of an index, with the servers that hold it.
    Shard,
    /// A version of an index with its partition map.
    Snapshot,
    /// The settings for the requests of some callers.
    Rule,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::DataCentre => "data_centre",
            Kind::Service => "service",
            Kind::Server => "server",
            Kind::Shard => "shard",
            Kind::Snapshot => "snapshot",
            Kind::Rule => "rule",
        })
    }
}
