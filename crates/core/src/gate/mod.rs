//! The one place through which work reaches a backend server.
//!
//! A [`Gate`] owns, for each of its servers, the queue, the concurrency limit, the connection
//! budget and the belief about the server's health. It is driven by events and returns
//! [`Action`]s; the driver sends requests, reports their [`End`] and polls health.

mod action;
mod end;
#[allow(clippy::module_inception)]
mod gate;
mod limiter;
mod queue;
mod rank;
mod report;
mod searcher;
mod settings;
mod standing;
mod task;

pub use self::{
    action::Action,
    end::End,
    gate::Gate,
    limiter::{Limiter, RANKED_GATES},
    queue::Queue,
    rank::Rank,
    report::{Condition, Report},
    searcher::Searcher,
    settings::Settings,
    standing::Standing,
    task::Task,
};
