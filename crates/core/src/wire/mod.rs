//! Messages between entries and gates.

mod call;
mod item;
mod sub_request;

pub use self::{call::Call, item::Item, sub_request::SubRequest};
