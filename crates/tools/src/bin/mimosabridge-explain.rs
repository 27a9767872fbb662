//! Explains the outcome of one request from the log lines of nodes.

use std::process;

use mimosabridge_cli::Binary;
use mimosabridge_tools::explain;

fn main() -> process::ExitCode {
    Binary::new("mimosabridge-explain", explain::USAGE).run(
        explain::parse,
        |_| Some(1),
        explain::run,
    )
}
