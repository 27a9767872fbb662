//! Connections of callers, and how a request learns that its caller has gone.
//!
//! poem goes on running a handler after its connection has closed. So the stream itself watches
//! for the end, and cancels a token that the handler finds by the address of its caller.

mod acceptor;
mod registry;
mod stream;

pub use self::{acceptor::CallerAcceptor, registry::Registry, stream::CallerStream};
