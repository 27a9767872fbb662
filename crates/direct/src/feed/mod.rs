//! Follows the published facts, through the platform's store or a peer.

mod catch_up;
mod follow;
mod read;
mod source;

pub use self::{
    follow::follow,
    source::{Source, SourceError},
};
