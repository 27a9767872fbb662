//! Whether an entry takes one more request.

mod door;

pub use self::door::Door;
