use std::net::SocketAddr;

use mimosabridge_cli::{Fault, Options};

/// The help text.
pub const USAGE: &str = "\
Shows what the nodes of a fleet believe, side by side.

  mimosabridge-status --nodes IP:PORT,...

  --nodes IP:PORT,...    where operators read the nodes (required)
  --help                 this text

Exit codes: 0 all agree, 1 a node cannot be read, 2 wrong options, 3 nodes differ.";

/// The parsed options of the tool.
#[derive(Clone, Debug)]
pub struct Config {
    /// Admin addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
}

/// Parses the options of the tool.
pub fn parse(mut options: Options) -> Result<Config, Fault> {
    let nodes = options.list("--nodes");
    if nodes.is_empty() {
        options.reject("`--nodes` is missing; name at least one node".into());
    }
    options.finish()?;
    Ok(Config { nodes })
}
