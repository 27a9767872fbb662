use serde::{Deserialize, Serialize};

/// Why it is unknown whether an attempt ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The connection to the server broke after the request may have been sent.
    Broken,
    /// The connection broke and the server was found to have crashed.
    Crashed,
    /// The reply did not arrive in time.
    TimedOut,
    /// The connection went silent, while the server answers on new connections.
    Silent,
    /// The request was cancelled after it was sent.
    Cancelled,
    /// The server replied with an error.
    ServerError,
    /// The reply belongs to another request, or could not be parsed.
    BadReply,
    /// The connection to the gate was lost after the gate may have received the request.
    GateLost,
}
