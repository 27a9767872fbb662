//! The outcome of a sub-request: served, provably not run, or unknown.

mod failure;
mod hint;
mod refusal;
mod reply;

pub use self::{
    failure::Failure,
    hint::{Hint, Trust},
    refusal::Refusal,
    reply::Reply,
};

use serde::{Deserialize, Serialize};

/// The outcome of one attempt at a sub-request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A server answered.
    Served(Reply),
    /// The attempt provably did not run.
    Refused(Refusal),
    /// The attempt may have run.
    Failed(Failure),
}
