//! Coordination logic for a query tier between callers and many shards.
//!
//! Every component is a plain struct that receives events with the current [`time::Time`] and
//! returns actions or answers. No component reads a clock, opens a socket or starts a task, and
//! random numbers come only from a seeded generator that is passed in. The daemons of this project
//! drive the components; other programs can embed them in the same way.

pub mod admission;
pub mod backend;
pub mod balance;
pub mod config;
pub mod directory;
pub mod feed;
pub mod fingerprint;
pub mod gate;
pub mod member;
pub mod memory;
pub mod name;
pub mod outcome;
pub mod place;
pub mod plan;
pub mod quarantine;
pub mod query;
pub mod reach;
pub mod recent;
pub mod retry;
pub mod route;
pub mod scatter;
pub mod snapshot;
pub mod stop;
pub mod ticket;
pub mod time;
pub mod wire;
