//! What one version of the configuration asks of the nodes that send straight to backend servers.
//!
//! A [`Plan`] is taken whole and never changes. A request keeps the plan that was in force when it
//! came, so that its answer is drawn from the shards of one version.

mod draft;
mod limits;
#[allow(clippy::module_inception)]
mod plan;
mod rule;
mod service;
mod target;

pub use self::{
    draft::Draft,
    limits::Limits,
    plan::Plan,
    rule::{Repeat, Rule},
    service::Service,
    target::{Gather, Share, Target},
};
