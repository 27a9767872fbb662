use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// What a backend server publishes about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The identity of the server. A request that names it is run by no other server.
    pub id: Name,
    /// The service of the server.
    pub service: Name,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The data centre of the server.
    pub data_centre: Name,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server has announced that it will stop.
    pub is_draining: bool,
    /// How much longer the server stays cold, as of the time when the entry was written.
    pub cold: Duration,
    /// When the server started, in milliseconds of its own clock. Distinguishes a restarted server
    /// from its predecessor.
    pub born: u64,
}
