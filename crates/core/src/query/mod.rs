//! One request at its entry node: attempts, hedges, retries, and the answer.

mod action;
mod answer;
mod attempt;
mod coverage;
mod ending;
mod hit;
mod merge;
mod missing;
mod plan;
mod run;
mod target;

pub use self::{
    action::Action,
    answer::{Answer, Verdict},
    attempt::Attempt,
    coverage::{Coverage, Gap},
    ending::Ending,
    hit::Hit,
    merge::merge,
    missing::Missing,
    plan::Plan,
    run::Run,
    target::{Route, Target},
};
