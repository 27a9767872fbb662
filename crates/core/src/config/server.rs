use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The name, unique among servers.
    pub name: Name,
    /// The service that the server belongs to.
    pub service: Name,
    /// The data centre that the server stands in.
    pub data_centre: Name,
    /// Where the server listens, as IP number and port.
    pub address: SocketAddr,
}
