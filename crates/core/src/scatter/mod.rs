//! One request from its arrival to its final answer, on a node that sends directly to servers.
//!
//! A [`Run`] sends the request to one server of each shard, or of one service. It retries failed
//! attempts, hedges slow ones, and decides when to answer the caller and with which verdict. The
//! driver does the I/O and holds the response bodies.

mod action;
mod attempt;
mod end;
mod evidence;
mod merge;
mod run;
mod shard;
mod timing;
mod verdict;

pub use self::{
    action::Action,
    attempt::Attempt,
    end::End,
    evidence::{Evidence, unserved_verdict},
    merge::merge,
    run::{Context, Run},
    verdict::{Failure, Refusal, Verdict},
};
