use crate::time::Time;

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It accepts requests, as far as the gate knows.
    Up,
    /// It cannot be reached.
    Down {
        /// The earliest time of the next attempt.
        retry_at: Time,
    },
    /// It is shutting down and accepts no new requests.
    Leaving,
}
