/// How far a planned stop is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// The node tells the balancer that it is not ready and serves on. Each answer closes its
    /// connection.
    Leaving,
    /// The node takes no new connections and closes idle ones.
    Closing,
    /// The process ends.
    Ended,
}
