//! HTTP towards backend servers.

mod client;
mod request;

pub use self::{client::Client, request::Request};
