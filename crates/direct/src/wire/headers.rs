use http::HeaderName;

/// The platform's names of the headers that this node interprets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Headers {
    /// Identifies one attempt of a caller; servers echo it.
    pub request_id: HeaderName,
    /// How long the sender waits for the answer, in milliseconds.
    pub deadline: HeaderName,
    /// The identity of the only server that may run the request.
    pub expected_server: HeaderName,
    /// The identity of the server that answers a health check.
    pub server_id: HeaderName,
    /// The signature of the server that made an answer.
    pub signature: HeaderName,
    /// The signatures of the parts of a merged answer.
    pub part_signatures: HeaderName,
    /// The number of shards that are missing from a merged answer.
    pub missing_shards: HeaderName,
    /// The requests per second that the server takes from all nodes together.
    pub server_limit: HeaderName,
    /// Marks the rejection of a request that has not run.
    pub not_run: HeaderName,
    /// Marks the answers of a server that leaves, with the value 1.
    pub server_leaving: HeaderName,
}
