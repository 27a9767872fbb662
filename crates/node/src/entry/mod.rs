//! The entry daemon: takes callers, plans their queries, calls gates and answers.

pub mod callers;

mod front;
mod home;
mod http;
mod link;
mod links;
mod request;
mod rpc;
mod session;
mod state;

pub use self::{
    front::{Front, Parts},
    home::Home,
    http::routes,
    link::Link,
    links::Links,
    request::{Input, Request},
    rpc::{HomeClient, HomeServer},
};
