//! What became of a sub-request: served, provably not run, or unknown.

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

/// What became of one attempt at one sub-request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A server answered.
    Served(Reply),
    /// The attempt was not run, provably.
    Refused(Refusal),
    /// The attempt may have run; nobody knows whether it did.
    Failed(Failure),
}
