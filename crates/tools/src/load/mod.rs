//! An open-loop load generator that models the callers of a site and reports the results.

mod caller;
mod fault;
mod options;
mod report;
mod run;
mod tally;

pub use self::{
    fault::{Fault, FaultError},
    options::{Config, USAGE, parse},
    report::Report,
    run::run,
    tally::Tally,
};
