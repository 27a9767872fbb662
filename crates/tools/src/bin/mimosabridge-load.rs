//! Puts the load of a site on a fleet and prints what came of it.

use std::process;

use mimosabridge_cli::{ExitCode, Fault, Options};
use mimosabridge_tools::load;
use snafu::ResultExt;

fn main() -> process::ExitCode {
    mimosabridge_cli::init_log();
    mimosabridge_cli::run("mimosabridge-load", start())
}

fn start() -> Result<ExitCode, Fault> {
    let mut options = Options::from_process();
    if options.flag("--help") {
        println!("{}", load::USAGE);
        return Ok(ExitCode::Success);
    }
    let config = load::parse(options)?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    runtime.whatever_context("cannot start the runtime")?.block_on(load::run(config))
}
