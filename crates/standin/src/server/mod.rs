//! A model of a backend server.

mod acceptor;
mod connection;
mod model;
mod run;
mod service;
mod spec;
mod stats;

pub use self::{model::Model, run::Server, spec::Spec, stats::Stats};
