use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
};

/// Addresses at which to discover other nodes: from the settings and from the platform's list.
#[derive(Clone, Debug, Default)]
pub struct Seeds {
    settings: BTreeSet<SocketAddr>,
    listed: BTreeSet<SocketAddr>,
    port: u16,
}

impl Seeds {
    /// Creates seeds from the settings. The nodes on listed VMs receive packets at `port`.
    pub fn new(settings: BTreeSet<SocketAddr>, port: u16) -> Seeds {
        Seeds { settings, listed: BTreeSet::new(), port }
    }

    /// Replaces the addresses from the platform's list.
    pub fn set_listed(&mut self, vms: &[IpAddr]) {
        self.listed = vms.iter().map(|it| SocketAddr::new(*it, self.port)).collect();
    }

    /// Returns all addresses.
    pub fn all(&self) -> BTreeSet<SocketAddr> {
        self.settings.union(&self.listed).copied().collect()
    }
}
