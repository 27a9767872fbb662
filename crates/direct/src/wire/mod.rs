//! The headers of HTTP messages to and from callers and backend servers.

mod headers;
mod hops;

pub use self::{
    headers::Headers,
    hops::{closes, strip},
};
