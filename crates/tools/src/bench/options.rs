use mimosabridge_cli::{Fault, Options};

/// The help text.
pub const USAGE: &str = "\
Measures slopes and prints a JSON object for each result.

  mimosabridge-bench decisions   time of each decision of an entry and a gate
  mimosabridge-bench config      time and memory of a large configuration
  mimosabridge-bench queue       orders of a queue below and above capacity, in virtual time
  mimosabridge-bench peers       the exchange of many nodes, over loopback, in one process

  --servers N            backend servers of the configuration (7600)
  --gates N              gates that are ranked (1200)
  --nodes N              nodes that exchange packets (100)
  --seconds N            how long to count (20)
  --help                 this text";

/// The benchmark to run, with its parameters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command {
    /// Time and memory of a large configuration.
    Config {
        /// Number of backend servers.
        servers: usize,
        /// Number of gates that are ranked.
        gates: usize,
    },
    /// Time of each decision of an entry and a gate.
    Decisions,
    /// Orders of a queue in virtual time.
    Queue,
    /// The exchange of many nodes over loopback.
    Peers {
        /// Number of nodes that exchange packets.
        nodes: usize,
        /// Duration of the measurement in seconds.
        seconds: u64,
    },
}

/// Parses the options of the tool.
pub fn parse(mut options: Options) -> Result<Command, Fault> {
    let servers = options.or("--servers", 7_600);
    let gates = options.or("--gates", 1_200);
    let nodes = options.or("--nodes", 100);
    let seconds = options.or("--seconds", 20);
    let command = match options.argument().as_deref() {
        Some("config") => Command::Config { servers, gates },
        Some("decisions") => Command::Decisions,
        Some("queue") => Command::Queue,
        Some("peers") => Command::Peers { nodes, seconds },
        other => {
            let name = other.unwrap_or("");
            options
                .reject(format!("`{name}` is no benchmark; use config, decisions, queue or peers"));
            Command::Decisions
        }
    };
    options.finish()?;
    Ok(command)
}
