//! Shows the status of the nodes of a fleet side by side.

use std::process;

use mimosabridge_cli::Binary;
use mimosabridge_tools::status;

fn main() -> process::ExitCode {
    Binary::new("mimosabridge-status", status::USAGE).run(status::parse, |_| Some(1), status::run)
}
