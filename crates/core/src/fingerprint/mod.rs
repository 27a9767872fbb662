//! Fingerprints that identify the content of requests.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::name::Name;

/// A hash of a rule's name and a request body, which is the same on every node.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a request body under a rule.
    pub fn new(rule: &Name, body: &[u8]) -> Fingerprint {
        let mut hasher = Xxh3Default::new();
        hasher.update(&(rule.as_str().len() as u64).to_le_bytes());
        hasher.update(rule.as_str().as_bytes());
        hasher.update(body);
        Fingerprint(hasher.digest())
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
