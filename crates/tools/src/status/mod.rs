//! The status of the nodes of a fleet, side by side.

mod options;
mod row;
mod run;

pub use self::{
    options::{Config, USAGE, parse},
    row::Row,
    run::run,
};
