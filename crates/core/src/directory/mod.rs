//! The backend servers that this node knows.
//!
//! Entries come from the platform's store, read by this node or by a peer. While the store is
//! unavailable, entries may lapse although their servers still run; lapsed entries are kept until
//! the store has had time to restore them.

mod change;
#[allow(clippy::module_inception)]
mod directory;
mod entry;
mod removed;

pub use self::{change::Change, directory::Directory, entry::Entry};
