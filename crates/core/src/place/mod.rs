//! The assignment of backend servers to gates.

mod block;
mod placement;
mod ranking;

pub use self::{
    block::Block,
    placement::{Placement, PlacementError},
    ranking::{gates, rank},
};
