//! The backend servers that this node knows.
//!
//! Entries come from the platform's store, read by this node or by a peer. In an outage of the store,
//! entries may lapse although their servers still run; lapsed entries are kept until the store has had
//! time to restore them. A store that fails some nodes and answers others has no outage.

mod change;
#[allow(clippy::module_inception)]
mod directory;
mod entry;
mod removed;
mod uptime;

pub use self::{change::Change, directory::Directory, entry::Entry, uptime::Uptime};
