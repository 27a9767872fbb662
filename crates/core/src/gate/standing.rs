use crate::time::Time;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It does, as far as is known.
    Up,
    /// It cannot be reached; the next attempt may be made at this time.
    Down {
        /// When the next attempt may be made.
        retry_at: Time,
    },
    /// It is leaving.
    Leaving,
}
