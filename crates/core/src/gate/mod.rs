//! Queueing, concurrency limits and health tracking for requests to backend servers.
//!
//! Requests reach a backend server only through gates. A [`Gate`] keeps, for each of its servers,
//! the queue, the concurrency limit, the state of its connections and its last known health. It
//! receives events and returns [`Action`]s; the driver sends requests, reports their
//! [`Completion`] and polls health.

mod action;
mod availability;
mod completion;
#[allow(clippy::module_inception)]
mod gate;
mod limiter;
mod queue;
mod rank;
mod report;
mod server_state;
mod settings;
mod task;

pub use self::{
    action::Action,
    availability::Availability,
    completion::Completion,
    gate::Gate,
    limiter::{Limiter, RANKED_GATES},
    queue::Queue,
    rank::Rank,
    report::{Condition, Report},
    server_state::ServerState,
    settings::Settings,
    task::Task,
};
