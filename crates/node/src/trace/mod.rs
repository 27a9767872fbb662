//! Traces with a span for each hop: caller to entry, entry to gate, gate to backend server.

mod span;
mod tracer;

pub use self::{span::Span, tracer::Tracer};
