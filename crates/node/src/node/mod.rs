//! A node: an entry, a gate, or both in one process.

mod config;
mod options;
mod role;
mod runner;
mod signals;

pub use self::{
    config::Config,
    options::{USAGE, parse},
    role::Role,
    runner::Node,
    signals::Signals,
};

use std::process;

use mimosabridge_cli::{Binary, ExitCode, Fault};

/// Runs the binary `name` with `roles`, until it receives a signal to stop.
pub fn main(name: &'static str, roles: &[Role]) -> process::ExitCode {
    Binary::new(name, USAGE).run(|options| parse(options, roles), |it| it.threads, run)
}

async fn run(config: Config) -> Result<ExitCode, Fault> {
    let signals = Signals::new()?;
    Node::start(config).await?.serve(signals).await;
    Ok(ExitCode::Success)
}
