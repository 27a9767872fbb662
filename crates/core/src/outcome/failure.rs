use serde::{Deserialize, Serialize};

/// Why the fate of an attempt is unknown.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The connection to the server broke after the request may have been sent.
    Broken,
    /// The connection broke and the server was found to have crashed.
    Crashed,
    /// No reply came in time.
    TimedOut,
    /// The connection went silent, while the server answers on new ones.
    Silent,
    /// The request was cancelled after it was sent.
    Cancelled,
    /// The server replied with an error.
    ServerError,
    /// The reply was not of the request that was sent, or could not be read.
    BadReply,
    /// The gate was lost after it may have taken the request.
    GateLost,
}
