use crate::{name::Name, time::Time};

/// A crash of a backend server while it ran a content.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The server.
    pub server: Name,
    /// When the attempt at the server broke.
    pub at: Time,
    /// Whether the attempt was sent after an earlier one with the same content had broken. Attempts
    /// that were under way together may have been ended by one fault.
    pub is_repeat: bool,
}
