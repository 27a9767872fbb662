use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use super::{Change, Digest, Head, Set, Stamp};

/// The most bytes of a published value.
pub const MAX_PART: usize = 1_000_000;

/// The most stamps that a lineage holds.
const MAX_LINEAGE: usize = 64;

/// A whole configuration with its stamp and lineage.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bundle {
    /// The version and digest.
    pub stamp: Stamp,
    /// The configurations that this one follows, newest first.
    pub lineage: Vec<Stamp>,
    /// The content.
    pub set: Set,
}

/// A bundle cannot be put together.
#[derive(Debug, Snafu)]
pub enum BundleError {
    /// The content is not a configuration.
    #[snafu(display("the parts of configuration {stamp} do not hold a configuration: {source}"))]
    Content {
        /// Which configuration.
        stamp: Stamp,
        /// Why the content cannot be read.
        source: serde_json::Error,
    },
    /// The content does not have the digest that the head names.
    #[snafu(display("the content of configuration {stamp} has the digest {found}"))]
    Mismatch {
        /// Which configuration.
        stamp: Stamp,
        /// The digest of the content.
        found: Digest,
    },
}

impl Bundle {
    /// Creates the first configuration.
    pub fn first(set: Set) -> Bundle {
        let stamp = Stamp { version: 1, digest: Digest::of(&set) };
        Bundle { stamp, lineage: Vec::new(), set }
    }

    /// Creates the configuration that replaces this one.
    pub fn next(&self, set: Set) -> Bundle {
        let stamp = Stamp { version: self.stamp.version + 1, digest: Digest::of(&set) };
        let mut lineage = vec![self.stamp];
        lineage.extend(self.lineage.iter().take(MAX_LINEAGE - 1));
        Bundle { stamp, lineage, set }
    }

    /// Adds a rival of an earlier configuration to the lineage, so that nodes that hold the rival
    /// accept this configuration too.
    pub fn with_settled(mut self, rival: Stamp) -> Bundle {
        self.lineage.push(rival);
        self.lineage.sort_by(|a, b| b.cmp(a));
        self
    }

    /// Returns whether a node that holds `held` may replace it with this configuration.
    ///
    /// A lineage that does not reach back to the version held cannot contradict it.
    pub fn follows(&self, held: Stamp) -> bool {
        if self.stamp.version <= held.version {
            return false;
        }
        let reaches = self.lineage.last().is_some_and(|it| it.version <= held.version);
        !reaches || self.lineage.contains(&held)
    }

    /// Returns what is published under [`Head::KEY`].
    pub fn head(&self) -> Head {
        Head { stamp: self.stamp, lineage: self.lineage.clone(), parts: self.parts().len() }
    }

    /// Returns the content as JSON in parts of at most [`MAX_PART`] bytes.
    pub fn parts(&self) -> Vec<String> {
        let text = serde_json::to_string(&self.set).expect("a set is valid JSON");
        let mut parts = Vec::new();
        let mut rest = text.as_str();
        while rest.len() > MAX_PART {
            let (part, after) = rest.split_at(rest.floor_char_boundary(MAX_PART));
            parts.push(part.to_owned());
            rest = after;
        }
        parts.push(rest.to_owned());
        parts
    }

    /// Puts a bundle together from what was published.
    pub fn assemble(head: Head, parts: &[String]) -> Result<Bundle, BundleError> {
        let stamp = head.stamp;
        let set = serde_json::from_str(&parts.concat()).context(ContentSnafu { stamp })?;
        Bundle::verified(stamp, head.lineage, set)
    }

    /// Creates the bundle that a change to this one leads to, if it has the stamp that is named.
    pub fn advance(&self, head: Head, change: &Change) -> Result<Bundle, BundleError> {
        Bundle::verified(head.stamp, head.lineage, change.apply(&self.set))
    }

    /// Returns the bundle if its content has the digest of its stamp.
    pub fn verify(self) -> Result<Bundle, BundleError> {
        Bundle::verified(self.stamp, self.lineage, self.set)
    }

    fn verified(stamp: Stamp, lineage: Vec<Stamp>, set: Set) -> Result<Bundle, BundleError> {
        let found = Digest::of(&set);
        ensure!(found == stamp.digest, MismatchSnafu { stamp, found });
        Ok(Bundle { stamp, lineage, set })
    }
}
