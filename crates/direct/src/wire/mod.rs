//! What is exchanged with callers and backend servers: the headers of messages, and the bytes of
//! connections.

mod arrived;
mod body;
mod headers;
mod hops;
mod status;

pub use self::{
    arrived::read_arrived,
    body::collect,
    headers::Headers,
    hops::{closes, strip},
    status::is_final,
};
