/// The phases of a planned stop.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// The node reports to the load balancer that it is not ready but still serves requests. It
    /// closes each connection after the next answer.
    Leaving,
    /// The node accepts no new connections and closes idle ones.
    Closing,
    /// The node has told the other nodes that it leaves, and sends the rest of its answers.
    Sending,
    /// The process ends.
    Ended,
}
