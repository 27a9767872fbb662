use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// A VM on the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: String,
    /// The IP number of the VM.
    pub ip: IpAddr,
    /// Whether the VM stays.
    pub presence: Presence,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// The VM is in use.
    Live,
    /// The VM will be taken away.
    Leaving,
}
