//! Checking change sets and building what operators publish.

mod command;
mod directory;
mod options;

pub use self::{
    command::run,
    directory::Directory,
    options::{Base, Command, Config, USAGE, parse},
};
