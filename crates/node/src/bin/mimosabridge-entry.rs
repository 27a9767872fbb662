//! Runs an entry, which accepts requests of callers.

use std::process;

use mimosabridge_node::node::{self, Role};

fn main() -> process::ExitCode {
    node::main("mimosabridge-entry", &[Role::Entry])
}
