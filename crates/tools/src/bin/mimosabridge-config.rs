//! Checks change sets and builds what operators publish.

use std::process;

use mimosabridge_cli::{ExitCode, Fault, Options};
use mimosabridge_tools::config;
use snafu::ResultExt;

fn main() -> process::ExitCode {
    mimosabridge_cli::init_log();
    mimosabridge_cli::run("mimosabridge-config", start())
}

fn start() -> Result<ExitCode, Fault> {
    let mut options = Options::from_process();
    if options.flag("--help") {
        println!("{}", config::USAGE);
        return Ok(ExitCode::Success);
    }
    let parsed = config::parse(options)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.whatever_context("cannot start the runtime")?.block_on(config::run(parsed))
}
