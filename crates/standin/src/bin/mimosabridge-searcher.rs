//! Runs modelled backend servers: `mimosabridge-searcher --listen 127.0.0.1:9000 --count 3`.

use std::{net::SocketAddr, process, time::Duration};

use mimosabridge_cli::{Binary, ExitCode, Fault, Options};
use mimosabridge_standin::server::{Server, Spec};
use snafu::ResultExt;

const USAGE: &str = "\
Runs modelled backend servers on consecutive ports.

  --listen IP:PORT       where the first server listens (required)
  --count N              servers to run (1)
  --slots N              requests that a warm server runs at once (3)
  --cold-slots N         requests that a cold server bears at once (1)
  --connections N        connections that a server accepts (30)
  --connect-cost-ms N    what a new connection costs (6)
  --service-ms F         median time of a request (4)
  --straggle F           part of requests that straggle (0.01)
  --holds V,V            versions of the index that are held (1)
  --network-ms F         network delay added to each reply (0)
  --seed N               seed of the random times (1)
  --help                 this text";

struct Config {
    listen: SocketAddr,
    count: u16,
    spec: Spec,
}

fn main() -> process::ExitCode {
    Binary::new("mimosabridge-searcher", USAGE).run(parse, |_| Some(2), run)
}

fn parse(mut options: Options) -> Result<Config, Fault> {
    let default = Spec::new();
    let mut holds = options.list("--holds");
    if holds.is_empty() {
        holds = default.holds.clone();
    }
    let spec = Spec {
        slots: options.or("--slots", default.slots),
        cold_slots: options.or("--cold-slots", default.cold_slots),
        connections: options.or("--connections", default.connections),
        connect_cost: Duration::from_millis(options.or("--connect-cost-ms", 6)),
        service_time: Duration::from_secs_f64(options.or("--service-ms", 4.0) / 1_000.0),
        straggle: options.or("--straggle", default.straggle),
        network_delay: Duration::from_secs_f64(options.or("--network-ms", 0.0) / 1_000.0),
        seed: options.or("--seed", default.seed),
        holds,
        ..default
    };
    let config = Config {
        listen: options.required("--listen", SocketAddr::from(([127, 0, 0, 1], 0))),
        count: options.or("--count", 1),
        spec,
    };
    options.finish()?;
    Ok(config)
}

async fn run(config: Config) -> Result<ExitCode, Fault> {
    let mut servers = Vec::new();
    for number in 0..config.count {
        let mut address = config.listen;
        address.set_port(address.port() + number);
        let spec = Spec { seed: config.spec.seed + u64::from(number), ..config.spec.clone() };
        let server = Server::start(address, spec).await;
        servers.push(server.with_whatever_context(|_| format!("cannot listen on {address}"))?);
    }
    std::future::pending::<()>().await;
    Ok(ExitCode::Success)
}
