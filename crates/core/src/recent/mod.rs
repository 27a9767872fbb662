//! State by name that is bounded: what was used least recently is dropped.

#[allow(clippy::module_inception)]
mod recent;

pub use self::recent::Recent;
