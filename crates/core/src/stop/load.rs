/// What a stopping node still has to do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// The number of requests in progress.
    pub requests: usize,
    /// The number of open connections of callers and other nodes. Answers may still be on their way
    /// over them.
    pub connections: usize,
    /// The number of addresses at which the node still accepts connections.
    pub listeners: usize,
}
