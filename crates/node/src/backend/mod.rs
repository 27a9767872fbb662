//! The HTTP client of backend servers.

mod client;
mod request;

pub use self::{client::Client, request::Request};
