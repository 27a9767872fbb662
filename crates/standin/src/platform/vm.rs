use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// A VM on the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: String,
    /// The IP address of the VM.
    pub ip: IpAddr,
    /// Whether the VM is in use or about to be removed.
    pub presence: Presence,
}

/// Whether a VM is in use or about to be removed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// The VM is in use.
    Live,
    /// The VM is about to be removed.
    Leaving,
}
