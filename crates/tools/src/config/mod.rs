//! Checks change sets and builds the configuration that operators publish.

mod command;
mod directory;
mod options;

pub use self::{
    command::run,
    directory::Directory,
    options::{Base, Command, Config, USAGE, parse},
};
