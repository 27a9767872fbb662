//! An open-loop load on a fleet, as the callers of a site put it, and what came of it.

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
