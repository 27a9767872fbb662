use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use mimosabridge::balance::Stated;

use super::Notice;

/// A complete answer of a backend server.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The signature by which the server proves that it made the answer.
    pub signature: Option<HeaderValue>,
    /// What the server says of the requests that it takes, or `None` if that is not a valid number.
    pub stated: Option<Stated>,
    /// What the server says of itself.
    pub notice: Notice,
}
