//! One request from its arrival to its final answer, on a node that sends straight to servers.
//!
//! A [`Run`] sends the request to one server of each shard, or of one service. It retries what was
//! lost, hedges what is late, and decides when the answer is due and what it may say. The driver
//! does the I/O and keeps the bytes.

mod action;
mod attempt;
mod end;
mod merge;
mod run;
mod settle;
mod shard;
mod timing;
mod verdict;

pub use self::{
    action::Action,
    attempt::Attempt,
    end::End,
    merge::merge,
    run::{Context, Run},
    settle::{Evidence, settle},
    verdict::{Failure, Refusal, Verdict},
};
