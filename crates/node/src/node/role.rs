/// The part that a node plays in serving a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Accepts requests of callers and answers them.
    Entry,
    /// Sends sub-requests to backend servers.
    Gate,
}
