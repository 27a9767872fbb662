use std::process;

use snafu::ResultExt;
use tokio::runtime::Builder;

use crate::{ExitCode, Fault, Options, flush_json_log, init_json_log, init_log};

/// One of the project's binaries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Binary {
    name: &'static str,
    usage: &'static str,
}

impl Binary {
    /// Creates a binary with its help text.
    pub fn new(name: &'static str, usage: &'static str) -> Binary {
        Binary { name, usage }
    }

    /// Parses the options and runs the work on a runtime with the number of threads that `threads`
    /// returns, by default one for each core. Prints errors to standard error.
    pub fn run<C, W: Future<Output = Result<ExitCode, Fault>>>(
        self,
        parse: impl FnOnce(Options) -> Result<C, Fault>,
        threads: impl FnOnce(&C) -> Option<usize>,
        work: impl FnOnce(C) -> W,
    ) -> process::ExitCode {
        init_log();
        let builder = |config: &C| {
            let mut builder = Builder::new_multi_thread();
            if let Some(threads) = threads(config) {
                builder.worker_threads(threads);
            }
            builder
        };
        self.report(self.execute(parse, builder, work))
    }

    /// Parses the options and runs the work on the current thread, with a JSON log on standard
    /// output. Prints errors to standard error.
    pub fn run_local<C, W: Future<Output = Result<ExitCode, Fault>>>(
        self,
        parse: impl FnOnce(Options) -> Result<C, Fault>,
        work: impl FnOnce(C) -> W,
    ) -> process::ExitCode {
        init_json_log();
        let result = self.execute(parse, |_| Builder::new_current_thread(), work);
        flush_json_log();
        self.report(result)
    }

    fn report(self, result: Result<ExitCode, Fault>) -> process::ExitCode {
        let code = result.unwrap_or_else(|fault| {
            for line in fault.lines() {
                eprintln!("{}: {line}", self.name);
            }
            fault.code()
        });
        code.into()
    }

    fn execute<C, W: Future<Output = Result<ExitCode, Fault>>>(
        self,
        parse: impl FnOnce(Options) -> Result<C, Fault>,
        builder: impl FnOnce(&C) -> Builder,
        work: impl FnOnce(C) -> W,
    ) -> Result<ExitCode, Fault> {
        let mut options = Options::from_process();
        if self.print_info(&mut options) {
            return Ok(ExitCode::Success);
        }
        let config = parse(options)?;
        let runtime = builder(&config).enable_all().build();
        let runtime = runtime.whatever_context("cannot start the runtime")?;
        runtime.block_on(work(config))
    }

    /// Prints the help text or the version if requested, and returns whether it did.
    fn print_info(self, options: &mut Options) -> bool {
        if options.flag("--help") {
            println!("{}", self.usage);
            return true;
        }
        if options.flag("--version") {
            println!("{} {}", self.name, env!("CARGO_PKG_VERSION"));
            return true;
        }
        false
    }
}
