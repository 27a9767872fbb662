//! Messages between entries and gates.

mod call;
mod item;
mod sub;

pub use self::{call::Call, item::Item, sub::Sub};
