//! Runs an entry and a gate in one process.

use std::process;

use mimosabridge_node::node::{self, Role};

fn main() -> process::ExitCode {
    node::main("mimosabridge-node", &[Role::Entry, Role::Gate])
}
