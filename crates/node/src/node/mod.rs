//! A whole node: an entry, a gate, or both in one process.

mod config;
mod options;
mod role;
mod run;

pub use self::{
    config::Config,
    options::{USAGE, parse},
    role::Role,
    run::Node,
};

use std::process;

use mimosabridge_cli::{ExitCode, Fault, Options};
use snafu::ResultExt;

/// Runs the binary `name`, which plays `roles`, until it is told to stop.
pub fn main(name: &str, roles: &[Role]) -> process::ExitCode {
    mimosabridge_cli::init_log();
    mimosabridge_cli::run(name, start(roles))
}

fn start(roles: &[Role]) -> Result<ExitCode, Fault> {
    let mut options = Options::from_process();
    if options.flag("--help") {
        println!("{USAGE}");
        return Ok(ExitCode::Success);
    }
    let config = parse(options, roles)?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if let Some(threads) = config.threads {
        builder.worker_threads(threads);
    }
    let runtime = builder.enable_all().build().whatever_context("cannot start the runtime")?;
    runtime.block_on(async {
        let node = Node::start(config).await?;
        node.serve().await?;
        Ok(ExitCode::Success)
    })
}
