use std::{net::SocketAddr, time::Duration};

use mimosabridge::{name::Name, place::Placement};
use mimosabridge_cli::{Fault, Options};

use super::{Config, Role};

/// The help text of the daemons.
pub const USAGE: &str = "\
Every option may also be set in the environment: --http-listen as MIMOSABRIDGE_HTTP_LISTEN.

  --name NAME              name of this node, unique in the fleet (required)
  --data-centre NAME       data centre that this node stands in (required)
  --platform IP:PORT       where the platform answers (required)
  --http-listen IP:PORT    where callers connect (0.0.0.0:8080)
  --rpc-listen IP:PORT     where other nodes connect (0.0.0.0:8081)
  --peer-listen IP:PORT    where other nodes send packets (0.0.0.0:8082)
  --admin-listen IP:PORT   where operators read /metrics and /status (nowhere)
  --advertise IP           where other nodes reach this one (required with 0.0.0.0)
  --seeds IP:PORT,...      packet addresses of other nodes, besides the platform's list of VMs
  --drain-ms N             how long a planned stop keeps serving callers (5000)
  --trace-endpoint URL     OTLP collector of traces, like http://10.0.0.9:4318/v1/traces (none)
  --trace-ratio F          part of the requests that are traced (0.001)
  --placement NAME         primary; spread and direct-N are baselines for measurement (primary)
  --threads N              threads that run tasks (one per core)
  --help                   this text";

/// Parses the options of a node with `roles`. Returns an error that names the invalid options.
pub fn parse(mut options: Options, roles: &[Role]) -> Result<Config, Fault> {
    let any = |port| SocketAddr::from(([0, 0, 0, 0], port));
    let name: String = options.required("--name", String::new());
    let data_centre: String = options.required("--data-centre", String::new());
    let config = Config {
        name: Name::new(name),
        data_centre: Name::new(data_centre),
        roles: roles.to_vec(),
        http_listen: options.or("--http-listen", any(8080)),
        rpc_listen: options.or("--rpc-listen", any(8081)),
        peer_listen: options.or("--peer-listen", any(8082)),
        admin_listen: options.optional("--admin-listen"),
        advertise: options.optional("--advertise"),
        platform: options.required("--platform", any(0)),
        seeds: options.list("--seeds").into_iter().collect(),
        drain: Duration::from_millis(options.or("--drain-ms", 5_000)),
        trace_endpoint: options.optional("--trace-endpoint"),
        trace_ratio: options.or("--trace-ratio", 0.001),
        placement: options.or("--placement", Placement::Primary),
        threads: options.optional("--threads"),
    };
    let unspecified =
        [config.rpc_listen, config.peer_listen].iter().any(|it| it.ip().is_unspecified());
    if unspecified && config.advertise.is_none() {
        options.reject("`--advertise` is missing; name the IP number of this VM".into());
    }
    options.finish()?;
    Ok(config)
}
