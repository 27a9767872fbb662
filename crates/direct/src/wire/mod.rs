//! What the parts of HTTP messages are called towards callers and backend servers.

mod headers;
mod hops;

pub use self::{headers::Headers, hops::strip};
