//! Checks change sets and builds the configuration that operators publish.

use std::process;

use mimosabridge_cli::Binary;
use mimosabridge_tools::config;

fn main() -> process::ExitCode {
    Binary::new("mimosabridge-config", config::USAGE).run(config::parse, |_| Some(1), config::run)
}
