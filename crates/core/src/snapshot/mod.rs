//! Which version of an index a query is answered from.

mod chooser;
mod holdings;

pub use self::{chooser::Chooser, holdings::Holdings};
