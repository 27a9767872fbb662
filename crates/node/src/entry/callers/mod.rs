//! Connections of callers, and the cancellation of requests whose caller has disconnected.
//!
//! poem continues to run a handler after its connection has closed. The stream itself therefore
//! detects the end, and cancels a token that the handler looks up by the address of its caller.

mod acceptor;
mod registry;
mod stream;

pub use self::{acceptor::CallerAcceptor, registry::Registry, stream::CallerStream};
