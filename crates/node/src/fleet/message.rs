use std::net::IpAddr;

use mimosabridge::{
    config::{Bundle, Head, Origin, Stamp},
    fingerprint::Fingerprint,
    member::Record,
    name::Name,
};
use tokio::sync::oneshot;

use super::ConfigReply;

/// What the keeper of the fleet is told.
#[derive(Debug)]
pub enum Message {
    /// Another node sends its roster and asks for this one's.
    Roster(Vec<Record>, oneshot::Sender<Vec<Record>>),
    /// Another node's roster has come.
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
