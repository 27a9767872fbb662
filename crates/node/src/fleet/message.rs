use std::net::IpAddr;

use mimosabridge::{
    config::{Bundle, Head, Origin, Stamp},
    fingerprint::Fingerprint,
    member::Record,
    name::Name,
    quarantine::Crash,
};
use tokio::sync::oneshot;

use super::{ConfigReply, RosterReply};

/// A message to the actor of the fleet.
#[derive(Debug)]
pub enum Message {
    /// Another node requests the records that differ from the roster with these digests.
    Roster(Vec<u32>, oneshot::Sender<RosterReply>),
    /// Records of another node's roster have arrived.
    RosterReceived(Vec<Record>),
    /// Another node requests a configuration.
    Config(Stamp, Option<Stamp>, oneshot::Sender<ConfigReply>),
    /// The fetch of a configuration has ended.
    ConfigFetched(Stamp, Origin, Option<Box<Bundle>>),
    /// The platform has published a head.
    Published(Head),
    /// The platform answered a read.
    PlatformAnswered,
    /// The platform's list has these live VMs and these leaving VMs.
    Vms(Vec<IpAddr>, Vec<IpAddr>),
    /// A backend server is leaving.
    ServerLeaving(Name),
    /// A backend server crashed while it processed this content.
    ServerCrashed(Fingerprint, Crash),
    /// Announces that this node leaves the fleet, then notifies the sender.
    Leave(oneshot::Sender<()>),
}
