use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use super::Digest;

/// Identifies a configuration by its version and the digest of its content.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp {
    /// The version, one more than that of the configuration it replaces.
    pub version: u64,
    /// The digest of the content.
    pub digest: Digest,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.version, self.digest)
    }
}

/// Returned when a text is not a stamp.
#[derive(Debug, Snafu)]
#[snafu(display("\"{text}\" is not a stamp like 7-00112233445566778899aabbccddeeff"))]
pub struct StampError {
    text: String,
}

impl FromStr for Stamp {
    type Err = StampError;

    fn from_str(text: &str) -> Result<Stamp, StampError> {
        let parts = text.split_once('-').context(StampSnafu { text })?;
        let version = parts.0.parse().ok().context(StampSnafu { text })?;
        let digest = parts.1.parse().ok().context(StampSnafu { text })?;
        Ok(Stamp { version, digest })
    }
}
