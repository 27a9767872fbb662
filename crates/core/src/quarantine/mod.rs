//! Requests whose content crashes backend servers.

mod list;
mod witness;

pub use self::{
    list::{CONVICTING_CRASHES, List},
    witness::Witness,
};
