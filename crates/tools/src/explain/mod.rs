//! Explains the outcome of one request from the log lines of nodes.

mod explanation;
mod line;
mod options;
mod run;

pub use self::{
    explanation::Explanation,
    line::{Line, Reader},
    options::{Config, USAGE, parse},
    run::run,
};
