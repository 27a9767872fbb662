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
    /// The data centre of the server.
    pub data_centre: Name,
    /// The IP address and port on which the server listens.
    pub address: SocketAddr,
}
