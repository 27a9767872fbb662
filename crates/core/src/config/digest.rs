use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use snafu::{ResultExt, Snafu};
use xxhash_rust::xxh3::xxh3_128;

use super::Set;

/// A 128-bit hash of the content of a configuration.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(u128);

/// Returned when a text is not a digest.
#[derive(Debug, Snafu)]
#[snafu(display("\"{text}\" is not a digest of 32 hexadecimal digits"))]
pub struct DigestError {
    text: String,
    source: std::num::ParseIntError,
}

impl Digest {
    /// Computes the digest of a configuration.
    pub fn of(set: &Set) -> Digest {
        let bytes = postcard::to_allocvec(set).expect("a set has no type that postcard refuses");
        Digest(xxh3_128(&bytes))
    }

    /// Returns the digest as a number.
    pub fn as_u128(self) -> u128 {
        self.0
    }

    /// Creates a digest from a number.
    pub fn from_u128(number: u128) -> Digest {
        Digest(number)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Digest, DigestError> {
        u128::from_str_radix(text, 16).map(Digest).context(DigestSnafu { text })
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        if deserializer.is_human_readable() {
            String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
        } else {
            u128::deserialize(deserializer).map(Digest)
        }
    }
}
