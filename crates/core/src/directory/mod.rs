//! Which backend servers there are, as far as this node knows.
//!
//! Entries come from the platform's store, read here or by a peer. While the store is away, entries
//! may lapse although their servers live; they are kept until the store has had time to bring them
//! back.

mod change;
#[allow(clippy::module_inception)]
mod directory;
mod entry;

pub use self::{change::Change, directory::Directory, entry::Entry};
