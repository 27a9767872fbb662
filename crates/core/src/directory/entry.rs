use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// What a backend server says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The identity of the server, which a request can name to be run by no other.
    pub id: Name,
    /// The service of the server.
    pub service: Name,
    /// Where the server listens.
    pub address: SocketAddr,
    /// The data centre of the server.
    pub data_centre: Name,
    /// Requests that the server runs at once.
    pub slots: u32,
    /// The server has announced that it stops.
    pub is_draining: bool,
    /// How much longer the server stays cold, at the time of writing.
    pub cold: Duration,
    /// When the server started, in milliseconds of its own clock. Tells two lives apart.
    pub born: u64,
}
