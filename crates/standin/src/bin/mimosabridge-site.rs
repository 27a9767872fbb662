//! Runs everything outside the system at one site: its backend servers and its platform.

use std::{net::SocketAddr, process};

use mimosabridge::config::{Bundle, Change};
use mimosabridge_cli::{ExitCode, Fault, Options};
use mimosabridge_standin::{platform::Platform, searcher::Searcher, site::Site};
use snafu::ResultExt;

const USAGE: &str = "\
Runs the backend servers and the platform of a site, and publishes its configuration.

  --site NAME            riego, consorzio, or wide-N with N shards (riego)
  --listen IP:PORT       where the platform listens; the servers take the ports after it (required)
  --straggle F           part of requests that straggle (0.01)
  --threads N            threads that run the stand-ins (2)
  --help                 this text";

struct Config {
    site: Site,
    listen: SocketAddr,
    straggle: f64,
    threads: usize,
}

fn main() -> process::ExitCode {
    mimosabridge_cli::init_log();
    mimosabridge_cli::run("mimosabridge-site", start())
}

fn start() -> Result<ExitCode, Fault> {
    let mut options = Options::from_process();
    if options.flag("--help") {
        println!("{USAGE}");
        return Ok(ExitCode::Success);
    }
    let config = parse(options)?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(config.threads).enable_all().build();
    runtime.whatever_context("cannot start the runtime")?.block_on(run(config))
}

fn parse(mut options: Options) -> Result<Config, Fault> {
    let name = options.or("--site", "riego".to_owned());
    let site = Site::by_name(&name).unwrap_or_else(|| {
        options.reject(format!("`--site {name}` is not known; use riego, consorzio or wide-N"));
        Site::riego()
    });
    let config = Config {
        site,
        listen: options.required("--listen", SocketAddr::from(([127, 0, 0, 1], 0))),
        straggle: options.or("--straggle", 0.01),
        threads: options.or("--threads", 2),
    };
    options.finish()?;
    Ok(config)
}

async fn run(config: Config) -> Result<ExitCode, Fault> {
    let mut first = config.listen;
    first.set_port(first.port() + 1);
    let mut searchers = Vec::new();
    for (server, mut spec) in config.site.servers(first) {
        spec.straggle = config.straggle;
        let searcher = Searcher::start(server.address, spec).await;
        let listening =
            searcher.with_whatever_context(|_| format!("cannot listen on {}", server.address));
        searchers.push(listening?);
    }
    let platform = Platform::start(config.listen).await;
    let platform =
        platform.with_whatever_context(|_| format!("cannot listen on {}", config.listen))?;
    let bundle = Bundle::first(config.site.config(first));
    platform.store().publish(&bundle, &Change::between(&Default::default(), &bundle.set));
    platform.run().await;
    Ok(ExitCode::Success)
}
