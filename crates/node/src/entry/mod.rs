//! The entry daemon: takes callers, plans their queries, calls gates and answers.

mod front;
mod http;
mod link;
mod links;
mod request;
mod session;

pub use self::{
    front::Front,
    http::routes,
    link::Link,
    links::Links,
    request::{Input, Request},
};
