use std::net::SocketAddr;

use mimosabridge::name::Name;
use mimosabridge_cli::{Fault, Options};

use super::{Config, Role};
use crate::fleet::Member;

/// The help text of the daemons.
pub const USAGE: &str = "\
Every option may also be set in the environment: --http-listen as MIMOSABRIDGE_HTTP_LISTEN.

  --name NAME              name of this node, unique in the fleet (required)
  --data-centre NAME       data centre that this node stands in (required)
  --platform IP:PORT       where the platform answers (required)
  --http-listen IP:PORT    where callers connect (0.0.0.0:8080)
  --rpc-listen IP:PORT     where other nodes connect (0.0.0.0:8081)
  --gates NAME@DC@IP:PORT  the gates of the fleet, separated by commas
  --threads N              threads that run tasks (one per core)
  --help                   this text";

/// Parses the options of a node that plays `roles`.
pub fn parse(mut options: Options, roles: &[Role]) -> Result<Config, Fault> {
    let any = SocketAddr::from(([0, 0, 0, 0], 0));
    let name: String = options.required("--name", String::new());
    let data_centre: String = options.required("--data-centre", String::new());
    let mut gates = Vec::new();
    for text in options.list::<String>("--gates") {
        match gate(&text) {
            Some(gate) => gates.push(gate),
            None => options.reject(format!("`{text}` in `--gates` is not NAME@DC@IP:PORT")),
        }
    }
    let config = Config {
        name: Name::new(name),
        data_centre: Name::new(data_centre),
        roles: roles.to_vec(),
        http_listen: options.or("--http-listen", SocketAddr::from(([0, 0, 0, 0], 8080))),
        rpc_listen: options.or("--rpc-listen", SocketAddr::from(([0, 0, 0, 0], 8081))),
        platform: options.required("--platform", any),
        gates,
        threads: options.optional("--threads"),
    };
    options.finish()?;
    Ok(config)
}

fn gate(text: &str) -> Option<(Name, Member)> {
    let mut parts = text.split('@');
    let (name, data_centre, address) = (parts.next()?, parts.next()?, parts.next()?);
    let address = address.parse().ok()?;
    Some((Name::from(name), Member { data_centre: Name::from(data_centre), address }))
}
