use http::HeaderName;

/// The headers with a meaning of their own, as the platform names them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Headers {
    /// Names one attempt of a caller; servers echo it.
    pub request_id: HeaderName,
    /// How many milliseconds the sender waits for the answer.
    pub deadline: HeaderName,
    /// The identity of the only server that may run the request.
    pub expected_server: HeaderName,
    /// Proves that a server made an answer.
    pub signature: HeaderName,
    /// The signatures of the parts of a merged answer.
    pub part_signatures: HeaderName,
    /// The number of shards that a merged answer lacks.
    pub missing_shards: HeaderName,
    /// Marks a rejection of a request that did not run.
    pub not_run: HeaderName,
}
