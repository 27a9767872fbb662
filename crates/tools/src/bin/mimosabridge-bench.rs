//! Measures slopes for `docs/CAPACITY.md`.

use std::process;

use mimosabridge_cli::{ExitCode, Fault, Options};
use mimosabridge_tools::bench;
use snafu::ResultExt;

fn main() -> process::ExitCode {
    mimosabridge_cli::init_log();
    mimosabridge_cli::run("mimosabridge-bench", start())
}

fn start() -> Result<ExitCode, Fault> {
    let mut options = Options::from_process();
    if options.flag("--help") {
        println!("{}", bench::USAGE);
        return Ok(ExitCode::Success);
    }
    let command = bench::parse(options)?;
    let runtime = tokio::runtime::Runtime::new();
    runtime.whatever_context("cannot start the runtime")?.block_on(bench::run(command))
}
