//! Names of configuration objects, VMs and servers.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A shared immutable name. Cloning it copies a pointer, not the text.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Creates a name from text.
    pub fn new(text: impl Into<Arc<str>>) -> Name {
        Name(text.into())
    }

    /// Returns the text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns a 32-bit hash of the name, which is the same on all nodes.
    pub fn key(&self) -> u32 {
        xxh3_64(self.0.as_bytes()) as u32
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Name {
        Name::new(text)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
