use std::fmt;

use mimosabridge::outcome::Trust;
use mimosabridge_node::admin::Status;

/// One row of the table: the status of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// The name of the node.
    pub name: String,
    /// The stamp of the configuration in force.
    pub config: String,
    /// Number of nodes that the node knows.
    pub nodes: usize,
    /// Number of gates that the node knows.
    pub gates: usize,
    /// Whether the node has lost contact with the rest of the system.
    pub isolated: bool,
    /// Number of warm servers of the gate, and number of all servers that it has used.
    pub warm: (usize, usize),
}

impl Row {
    /// Creates the row of a node.
    pub fn new(status: &Status) -> Row {
        let config = status.config.map_or("none".to_owned(), |it| it.to_string());
        Row {
            name: status.name.to_string(),
            config,
            nodes: status.nodes.len(),
            gates: status.gates.len(),
            isolated: status.isolated,
            warm: (
                status.trust.get(&Trust::Warm).copied().unwrap_or_default(),
                status.servers.len(),
            ),
        }
    }

    /// Returns whether two nodes have the same configuration, node count, gate count and isolation.
    pub fn agrees(&self, other: &Row) -> bool {
        let view = |it: &Row| (it.config.clone(), it.nodes, it.gates, it.isolated);
        view(self) == view(other)
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let contact = if self.isolated { "isolated" } else { "in contact" };
        let (warm, used) = self.warm;
        write!(
            f,
            "{:<20} {:<40} {:>5} nodes {:>5} gates  {contact}  {warm} of {used} servers warm",
            self.name, self.config, self.nodes, self.gates
        )
    }
}
