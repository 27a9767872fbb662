//! Measures the cost of decisions, configurations and the peer exchange for capacity planning.

use std::process;

use mimosabridge_cli::Binary;
use mimosabridge_tools::bench;

fn main() -> process::ExitCode {
    Binary::new("mimosabridge-bench", bench::USAGE).run(bench::parse, |_| None, bench::run)
}
