//! What a node knows of the fleet: the configuration in force and the other nodes.

mod keeper;
mod view;

pub use self::{
    keeper::Keeper,
    view::{Member, View},
};
