//! Generates the load of a site against a fleet and prints the results.

use std::process;

use mimosabridge_cli::Binary;
use mimosabridge_tools::load;

fn main() -> process::ExitCode {
    Binary::new("mimosabridge-load", load::USAGE).run(load::parse, |_| Some(1), load::run)
}
