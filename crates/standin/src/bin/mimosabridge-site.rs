//! Runs the external systems of one site: its backend servers and its platform.

use std::{net::SocketAddr, process};

use mimosabridge::config::{Bundle, Change};
use mimosabridge_cli::{Binary, ExitCode, Fault, Options};
use mimosabridge_standin::{platform::Platform, server::Server, site::Site};
use snafu::ResultExt;

const USAGE: &str = "\
Runs the backend servers and the platform of a site, and publishes its configuration.

  --site NAME            riego, consorzio, or wide-N with N shards (riego)
  --listen IP:PORT       where the platform listens; the servers take the ports after it (required)
  --straggle F           part of requests that straggle (0.01)
  --hedge-quantile F     when rules hedge (0.95)
  --canary-over N        shards above which rules try new contents on one shard first (16)
  --threads N            threads that run the stand-ins (2)
  --help                 this text";

struct Config {
    site: Site,
    listen: SocketAddr,
    straggle: f64,
    hedge_quantile: f64,
    canary_over: usize,
    threads: usize,
}

fn main() -> process::ExitCode {
    Binary::new("mimosabridge-site", USAGE).run(parse, |it| Some(it.threads), run)
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
        hedge_quantile: options.or("--hedge-quantile", 0.95),
        canary_over: options.or("--canary-over", 16),
        threads: options.or("--threads", 2),
    };
    options.finish()?;
    Ok(config)
}

async fn run(config: Config) -> Result<ExitCode, Fault> {
    let mut first = config.listen;
    first.set_port(first.port() + 1);
    let mut servers = Vec::new();
    for (server, mut spec) in config.site.servers(first) {
        spec.straggle = config.straggle;
        let started = Server::start(server.address, spec).await;
        let listening =
            started.with_whatever_context(|_| format!("cannot listen on {}", server.address));
        servers.push(listening?);
    }
    let platform = Platform::start(config.listen).await;
    let platform =
        platform.with_whatever_context(|_| format!("cannot listen on {}", config.listen))?;
    let mut set = config.site.config(first);
    for rule in set.rules.values_mut() {
        rule.hedge_quantile = config.hedge_quantile;
        rule.canary_over = config.canary_over;
    }
    let bundle = Bundle::first(set);
    platform.store().publish(&bundle, &Change::between(&Default::default(), &bundle.set));
    platform.run().await;
    Ok(ExitCode::Success)
}
