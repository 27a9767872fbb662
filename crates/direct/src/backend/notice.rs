use http::{HeaderMap, HeaderName};

use crate::{events, wire::Headers};

/// What a server says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether the server leaves.
    pub is_leaving: bool,
}

impl Notice {
    /// Reads the head of an answer. Values that are not valid are logged and ignored.
    pub fn new(headers: &HeaderMap, names: &Headers) -> Notice {
        Notice { is_leaving: is_leaving(headers, &names.server_leaving) }
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
