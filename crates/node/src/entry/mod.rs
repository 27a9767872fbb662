//! The entry daemon: accepts requests of callers, plans them, calls gates and sends the answers.

pub mod callers;

mod coordinator;
mod home;
mod http;
mod link;
mod links;
mod request;
mod rpc;
mod session;
mod state;

pub use self::{
    coordinator::{Coordinator, Parts},
    home::Home,
    http::routes,
    link::Link,
    links::Links,
    request::{Input, Request},
    rpc::{HomeClient, HomeServer},
};
