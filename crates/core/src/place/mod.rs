//! Which gate serves which backend server.

mod block;
mod placement;
mod ranking;

pub use self::{
    block::Block,
    placement::{Placement, PlacementError},
    ranking::{gates, rank},
};
