//! Puts the load of a site on a fleet and prints what came of it.

use std::process;

use mimosabridge_cli::Binary;
use mimosabridge_tools::load;

fn main() -> process::ExitCode {
    Binary::new("mimosabridge-load", load::USAGE).run(load::parse, |_| Some(1), load::run)
}
