//! The backend servers that this node knows.
//!
//! Entries come from the platform's store, read by this node or by a peer. In an outage of the store,
//! entries may lapse although their servers still run; lapsed entries are kept until the store has had
//! time to restore them. A store that fails some nodes and answers others has no outage.
//!
//! The store may apply a write after later ones of the same server. What a server writes is ordered by its start and
//! the number of the write, whichever way an entry comes; an older entry is held back.

mod change;
#[allow(clippy::module_inception)]
mod directory;
mod edition;
mod entry;
mod held;
mod removed;
mod uptime;

pub use self::{
    change::Change,
    directory::{Directory, WRITE_INTERVAL},
    edition::Edition,
    entry::Entry,
    uptime::Uptime,
};
