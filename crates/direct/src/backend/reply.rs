use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};

/// A whole answer of a backend server.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// What proves that the server made the answer.
    pub signature: Option<HeaderValue>,
}
