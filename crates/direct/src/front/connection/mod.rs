//! A connection of a caller as the HTTP server uses it, and how it is closed.

mod linger;
mod notice;
mod send_buffer;
mod state;
mod transport;

pub use self::{state::State, transport::Transport};
