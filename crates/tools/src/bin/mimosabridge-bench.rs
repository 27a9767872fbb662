//! Measures slopes for the page on capacity.

use std::process;

use mimosabridge_cli::Binary;
use mimosabridge_tools::bench;

fn main() -> process::ExitCode {
    Binary::new("mimosabridge-bench", bench::USAGE).run(bench::parse, |_| None, bench::run)
}
