use std::fmt;

use http::{HeaderMap, HeaderName, HeaderValue};

/// Which request an answer names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Identity {
    /// The request that was sent last.
    Own,
    /// Another request: a late copy of an earlier answer, for example.
    Other,
    /// None.
    Missing,
}

impl Identity {
    /// Compares the identity in the head of an answer with that of the request.
    pub fn new(headers: &HeaderMap, name: &HeaderName, id: &HeaderValue) -> Identity {
        let mut named = headers.get_all(name).iter().peekable();
        if named.peek().is_none() {
            return Identity::Missing;
        }
        if named.all(|it| it == id) { Identity::Own } else { Identity::Other }
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Identity::Own => "own",
            Identity::Other => "other",
            Identity::Missing => "missing",
        })
    }
}
