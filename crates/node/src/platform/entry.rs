use std::net::IpAddr;

use serde::Deserialize;

/// A value of the configuration service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Entry {
    /// Increases with each write of the key.
    pub revision: u64,
    /// The value.
    pub value: String,
}

/// A VM on the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Vm {
    /// The name of the VM.
    pub name: String,
    /// The IP address of the VM.
    pub ip: IpAddr,
    /// Whether the VM is in use or leaving.
    pub presence: Presence,
}

/// Whether a VM is in use or leaving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// The VM is in use.
    Live,
    /// The VM will be removed.
    Leaving,
}
