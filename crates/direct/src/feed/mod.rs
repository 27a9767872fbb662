//! Follows the published facts, through the platform's store or a peer.

mod catch_up;
mod confirm;
mod follow;
mod learn;
mod read;
mod scout;
mod source;

pub use self::{
    follow::follow,
    learn::learn_removed,
    scout::scout,
    source::{Source, SourceError},
};
