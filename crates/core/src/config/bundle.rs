use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use super::{Change, Digest, Head, Set, Stamp};

/// The most bytes of a published part.
pub const MAX_PART_BYTES: usize = 1_000_000;

/// The most stamps in a lineage.
const MAX_LINEAGE: usize = 64;

/// A complete configuration with its stamp and lineage.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bundle {
    /// The version and the digest of the content.
    pub stamp: Stamp,
    /// The configurations that this one may replace, newest first.
    pub lineage: Vec<Stamp>,
    /// The content, every object of the configuration.
    pub set: Set,
}

/// Returned when a bundle cannot be assembled or verified.
#[derive(Debug, Snafu)]
pub enum BundleError {
    /// The parts do not hold a configuration.
    #[snafu(display("the parts of configuration {stamp} do not hold a configuration: {source}"))]
    Content {
        /// The stamp of the configuration.
        stamp: Stamp,
        /// Why the content cannot be parsed.
        source: serde_json::Error,
    },
    /// The content does not have the digest of the stamp.
    #[snafu(display("the content of configuration {stamp} has the digest {found}"))]
    Mismatch {
        /// The stamp of the configuration.
        stamp: Stamp,
        /// The digest of the content.
        found: Digest,
    },
}

impl Bundle {
    /// Creates the first configuration, with version 1 and an empty lineage.
    pub fn first(set: Set) -> Bundle {
        let stamp = Stamp { version: 1, digest: Digest::of(&set) };
        Bundle { stamp, lineage: Vec::new(), set }
    }

    /// Creates the configuration that replaces this one, with the next version.
    pub fn next(&self, set: Set) -> Bundle {
        let stamp = Stamp { version: self.stamp.version + 1, digest: Digest::of(&set) };
        let mut lineage = vec![self.stamp];
        lineage.extend(self.lineage.iter().take(MAX_LINEAGE - 1));
        Bundle { stamp, lineage, set }
    }

    /// Adds a rival of an earlier configuration to the lineage, so that nodes that hold the rival
    /// accept this configuration too. Rivals have the same version and different content.
    pub fn with_rival(mut self, rival: Stamp) -> Bundle {
        self.lineage.push(rival);
        self.lineage.sort_by(|a, b| b.cmp(a));
        self
    }

    /// Returns whether a node that holds `held` may replace it with this configuration.
    ///
    /// A lineage that does not reach back to the held version cannot show a conflict with it.
    pub fn follows(&self, held: Stamp) -> bool {
        if self.stamp.version <= held.version {
            return false;
        }
        let reaches = self.lineage.last().is_some_and(|it| it.version <= held.version);
        !reaches || self.lineage.contains(&held)
    }

    /// Returns the head to publish under [`Head::KEY`].
    pub fn head(&self) -> Head {
        Head { stamp: self.stamp, lineage: self.lineage.clone(), parts: self.parts().len() }
    }

    /// Returns the content as JSON in parts of at most [`MAX_PART_BYTES`] bytes.
    pub fn parts(&self) -> Vec<String> {
        let text = serde_json::to_string(&self.set).expect("a set is valid JSON");
        let mut parts = Vec::new();
        let mut rest = text.as_str();
        while rest.len() > MAX_PART_BYTES {
            let (part, after) = rest.split_at(rest.floor_char_boundary(MAX_PART_BYTES));
            parts.push(part.to_owned());
            rest = after;
        }
        parts.push(rest.to_owned());
        parts
    }

    /// Assembles a bundle from its published head and parts.
    ///
    /// Returns an error if the parts do not hold a configuration with the digest in the head.
    pub fn assemble(head: Head, parts: &[String]) -> Result<Bundle, BundleError> {
        let stamp = head.stamp;
        let set = serde_json::from_str(&parts.concat()).context(ContentSnafu { stamp })?;
        Bundle::verified(stamp, head.lineage, set)
    }

    /// Applies a change to this configuration and returns the result.
    ///
    /// Returns an error if the result does not have the digest in the head.
    pub fn advance(&self, head: Head, change: &Change) -> Result<Bundle, BundleError> {
        Bundle::verified(head.stamp, head.lineage, change.apply(&self.set))
    }

    /// Returns the bundle, or an error if its content does not have the digest of its stamp.
    pub fn verify(self) -> Result<Bundle, BundleError> {
        Bundle::verified(self.stamp, self.lineage, self.set)
    }

    fn verified(stamp: Stamp, lineage: Vec<Stamp>, set: Set) -> Result<Bundle, BundleError> {
        let found = Digest::of(&set);
        ensure!(found == stamp.digest, MismatchSnafu { stamp, found });
        Ok(Bundle { stamp, lineage, set })
    }
}
