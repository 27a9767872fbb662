//! Runs a gate, which reaches backend servers.

use std::process;

use mimosabridge_node::node::{self, Role};

fn main() -> process::ExitCode {
    node::main("mimosabridge-gate", &[Role::Gate])
}
