//! The timer service that the parts of a process subscribe to.

mod service;
mod tick;

pub use self::{service::Service, tick::Tick};
