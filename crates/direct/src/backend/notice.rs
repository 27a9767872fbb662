use std::time::Duration;

use http::{HeaderMap, HeaderName, StatusCode, header};
use mimosabridge::balance::MAX_REST;

use crate::{events, wire::Headers};

/// What a server says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether the server leaves.
    pub is_leaving: bool,
    /// For how long the server wants no requests of this node.
    pub rest: Option<Duration>,
}

impl Notice {
    /// Reads the head of an answer. Values that are not valid are logged and ignored.
    pub fn new(status: StatusCode, headers: &HeaderMap, names: &Headers) -> Notice {
        let is_leaving = is_leaving(headers, &names.server_leaving);
        let is_rejection = status == StatusCode::SERVICE_UNAVAILABLE;
        Notice { is_leaving, rest: is_rejection.then(|| rest(headers)).flatten() }
    }
}

/// Returns whether a server says that it leaves. If the header comes more than once, all values count.
fn is_leaving(headers: &HeaderMap, name: &HeaderName) -> bool {
    let mut values = headers.get_all(name).iter().peekable();
    if values.peek().is_none() {
        return false;
    }
    let invalid = values.find(|it| it.as_bytes() != b"1");
    if let Some(value) = invalid {
        events::TROUBLE.emit(&[
            ("operation", &"read whether a server leaves"),
            ("error", &format_args!("{value:?} is not 1")),
        ]);
    }
    invalid.is_none()
}

/// Returns for how long a server wants no requests: seconds, at most [`MAX_REST`]. A date is not valid.
fn rest(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::RETRY_AFTER)?;
    let seconds = value.to_str().ok().and_then(|it| it.trim().parse::<f64>().ok());
    let seconds = seconds.filter(|it| it.is_finite() && *it >= 0.0);
    if seconds.is_none_or(|it| it > MAX_REST.as_secs_f64()) {
        events::TROUBLE.emit(&[
            ("operation", &"read how long a server rests"),
            ("error", &format_args!("{value:?} is not a number from 0 to {MAX_REST:?}")),
        ]);
    }
    let rest = Duration::from_secs_f64(seconds?.min(MAX_REST.as_secs_f64()));
    (!rest.is_zero()).then_some(rest)
}
