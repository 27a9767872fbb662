use std::net::IpAddr;

use mimosabridge::{
    config::{Bundle, Head, Origin, Stamp},
    fingerprint::Fingerprint,
    member::Record,
    name::Name,
};
use tokio::sync::oneshot;

use super::{ConfigReply, RosterReply};

/// What the keeper of the fleet is told.
#[derive(Debug)]
pub enum Message {
    /// Another node asks for what differs from the roster with these digests.
    Roster(Vec<u32>, oneshot::Sender<RosterReply>),
    /// Records of another node's roster have come.
    RosterFetched(Vec<Record>),
    /// Another node asks for a configuration.
    Config(Stamp, Option<Stamp>, oneshot::Sender<ConfigReply>),
    /// The fetch of a configuration has ended.
    ConfigFetched(Stamp, Origin, Option<Box<Bundle>>),
    /// The platform publishes a head.
    Published(Head),
    /// The platform answered a read.
    PlatformHeard,
    /// The platform's list has these VMs, and these of them are leaving.
    Vms(Vec<IpAddr>, Vec<IpAddr>),
    /// A backend server was seen leaving.
    SeenLeaving(Name),
    /// A backend server crashed while it ran a content.
    SeenCrash(Fingerprint, Name),
    /// This node stops.
    Leave(oneshot::Sender<()>),
}
