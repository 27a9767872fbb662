//! Runs a gate, which sends sub-requests to backend servers.

use std::process;

use mimosabridge_node::node::{self, Role};

fn main() -> process::ExitCode {
    node::main("mimosabridge-gate", &[Role::Gate])
}
