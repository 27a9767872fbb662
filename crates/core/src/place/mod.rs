//! Which gate serves which backend server.

mod block;
mod ranking;

pub use self::{
    block::Block,
    ranking::{gates, rank},
};
