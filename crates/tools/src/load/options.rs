use std::{net::SocketAddr, time::Duration};

use mimosabridge_cli::Options;
use mimosabridge_standin::site::Site;

use super::Fault;

/// The help text.
pub const USAGE: &str = "\
Puts the load of a site on a fleet and prints what came of it, one JSON object per rule.

  --site NAME            riego, consorzio, or wide-N with N shards (riego)
  --entries IP:PORT,...  where the entries take callers (required)
  --servers IP:PORT      where the first modelled server of the site listens (required)
  --scale F              factor on every rate of the site (1)
  --warm-up N            seconds before counting starts (5)
  --seconds N            seconds that are counted (20)
  --rules NAME,...       only the load on these rules (all)
  --fault NAME           chill, crash or silence a random server again and again (none)
  --fault-every-ms N     time between two faults (500)
  --processes N,N,...    process numbers whose use of the processor is reported too
  --seed N               seed of the random choices (1)
  --help                 this text

Latency counts from the time at which a request was due, so a slow fleet cannot hide behind
callers that wait for it.";

/// The parsed options of the tool.
#[derive(Clone, Debug)]
pub struct Config {
    /// The site whose callers are modelled.
    pub site: Site,
    /// Addresses at which the entries accept callers.
    pub entries: Vec<SocketAddr>,
    /// Address of the first modelled server.
    pub servers: SocketAddr,
    /// Factor on every request rate.
    pub scale: f64,
    /// Time before the measurement starts.
    pub warm_up: Duration,
    /// Duration of the measurement.
    pub counted: Duration,
    /// Rules whose load is generated; all rules if empty.
    pub rules: Vec<String>,
    /// Fault that is injected into random servers, if any.
    pub fault: Option<Fault>,
    /// Time between two faults.
    pub fault_period: Duration,
    /// IDs of the processes whose usage is reported too.
    pub processes: Vec<u32>,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Parses the options of the tool.
pub fn parse(mut options: Options) -> Result<Config, mimosabridge_cli::Fault> {
    let name = options.or("--site", "riego".to_owned());
    let site = Site::by_name(&name).unwrap_or_else(|| {
        options.reject(format!("`--site {name}` is not known; use riego, consorzio or wide-N"));
        Site::riego()
    });
    let entries = options.list("--entries");
    if entries.is_empty() {
        options.reject("`--entries` is missing; name at least one entry".into());
    }
    let config = Config {
        site,
        entries,
        servers: options.required("--servers", SocketAddr::from(([127, 0, 0, 1], 0))),
        scale: options.or("--scale", 1.0),
        warm_up: Duration::from_secs(options.or("--warm-up", 5)),
        counted: Duration::from_secs(options.or("--seconds", 20)),
        rules: options.list("--rules"),
        fault: options.optional("--fault"),
        fault_period: Duration::from_millis(options.or("--fault-every-ms", 500)),
        processes: options.list("--processes"),
        seed: options.or("--seed", 1),
    };
    options.finish()?;
    Ok(config)
}
