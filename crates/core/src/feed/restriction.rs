use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A restriction that was published before the store came back from an older copy. It is kept for a
/// while although the copy lacks it, until its author has had time to publish it again.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Restriction {
    /// The servers of a data centre must not receive requests.
    Closed(Name),
    /// A server had announced its stop, or its entry had been removed.
    Retired {
        /// The name of the server.
        server: Name,
        /// The start of the server that this holds for.
        born: u64,
    },
}
