use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::Edition;
use crate::name::Name;

/// The longest time for which a server may say that it stays cold.
const MAX_COLD: Duration = Duration::from_secs(3_600);

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
    /// How many entries the server had written since its start when it wrote this one. `None` if it does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
}

impl Entry {
    /// Returns whether two entries are of one process instance of a server.
    pub fn is_same_instance(&self, other: &Entry) -> bool {
        let instance = |it: &Entry| (it.born, it.address);
        instance(self) == instance(other)
            && (&self.id, &self.service) == (&other.id, &other.service)
    }

    /// Returns which write of which start of the server this entry is.
    pub fn edition(&self) -> Edition {
        Edition { born: self.born, sequence: self.sequence }
    }

    /// Returns why no request can be sent to the server that this entry names, or `None` if one can.
    pub fn finding(&self) -> Option<String> {
        let Entry { id, address, cold, .. } = self;
        let ip = address.ip();
        if id.as_str().is_empty() || !id.as_str().bytes().all(|it| it.is_ascii_graphic()) {
            Some(format!("the id {id:?} must consist of visible ASCII characters"))
        } else if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            Some(format!("no server can be reached at {address}"))
        } else if *cold > MAX_COLD {
            Some(format!("the server says that it stays cold for {cold:?}; at most {MAX_COLD:?}"))
        } else {
            None
        }
    }
}
