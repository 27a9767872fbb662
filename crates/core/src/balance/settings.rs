use crate::name::Name;

/// The nodes that are assumed until the others are known, unless told otherwise: more than a site of
/// today has, so that nodes that start together do not spend too much.
pub const ASSUMED_NODES: u32 = 16;

/// What the balancer of a node is made for.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The data centre of this node.
    pub data_centre: Name,
    /// Extra requests for each request, over all nodes.
    pub extra_ratio: f64,
    /// Extra requests beside those, over all nodes.
    pub extra_burst: f64,
    /// How many times the rate that a cold server bears may be sent to it.
    pub cold_factor: f64,
    /// Requests per second that a cold server bears besides.
    pub cold_slack: f64,
    /// The nodes that are assumed until the others are known.
    pub assumed_nodes: u32,
}
