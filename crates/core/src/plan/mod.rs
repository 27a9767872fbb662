//! The configuration of the nodes that send requests directly to backend servers.
//!
//! A [`Plan`] holds one version and never changes. A request keeps the rule and the services that were
//! in force when it arrived, so that its answer comes from the shards of a single version.

mod limits;
#[allow(clippy::module_inception)]
mod plan;
mod rule;
mod service;
mod spec;
mod target;

pub use self::{
    limits::Limits,
    plan::Plan,
    rule::{Repeat, Rule},
    service::Service,
    spec::Spec,
    target::{Gather, Share, Target},
};
