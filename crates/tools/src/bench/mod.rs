//! Benchmarks for capacity planning: the cost of decisions, configurations and the exchange between
//! nodes, measured on one machine.

mod config;
mod decisions;
mod options;
mod peers;
mod queue;
mod sample;

pub use self::{
    options::{Command, USAGE, parse},
    sample::Sample,
};

use mimosabridge_cli::{ExitCode, Fault};

/// Runs one benchmark and prints a JSON object for each result.
pub async fn run(command: Command) -> Result<ExitCode, Fault> {
    match command {
        Command::Config { servers, gates } => config::run(servers, gates),
        Command::Decisions => decisions::run(),
        Command::Queue => queue::run(),
        Command::Peers { nodes, seconds } => peers::run(nodes, seconds).await?,
    }
    Ok(ExitCode::Success)
}
