use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{Bundle, Finding, Lines, Stamp, check};
use crate::time::Time;

/// Holds the chain of configurations of a node: the one in force and the candidate to replace it.
///
/// A configuration that is read from the platform stays a candidate for the settle time. If a rival
/// appears meanwhile (two operators replaced the same version), every node picks the rival with
/// the lower digest. A configuration that is in force on another node is accepted at once. With a
/// settle time of twice the time that news takes to reach every node, no two nodes that can reach
/// each other accept different rivals. A version in force is never replaced by a lower one or by a
/// rival.
#[derive(Clone, Debug)]
pub struct Chain {
    settle: Duration,
    in_force: Option<Arc<Bundle>>,
    candidate: Option<Candidate>,
    refused: BTreeSet<Stamp>,
}

#[derive(Clone, Debug)]
struct Candidate {
    bundle: Arc<Bundle>,
    since: Time,
}

/// The source of an offered bundle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The bundle was read from the platform, or is a candidate on another node.
    Published,
    /// The bundle is in force on another node.
    InForce,
}

/// The outcome of offering a bundle to a [`Chain`].
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The bundle is now in force.
    Accepted(Arc<Bundle>),
    /// The bundle is now the candidate, which comes into force after the settle time.
    Waiting,
    /// The bundle is already in force or the candidate.
    Known,
    /// A higher version is already in force or the candidate.
    Stale,
    /// The bundle does not follow the configuration in force, or the candidate is a rival with a
    /// lower digest.
    Conflict {
        /// The configuration that stays in force or the candidate.
        current: Stamp,
    },
    /// The content of the bundle is inconsistent.
    Invalid(Vec<Finding>),
}

impl Chain {
    /// Creates a chain with no configuration in force.
    pub fn new(settle: Duration) -> Chain {
        Chain { settle, in_force: None, candidate: None, refused: BTreeSet::new() }
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&Arc<Bundle>> {
        self.in_force.as_ref()
    }

    /// Returns the stamp of the configuration in force.
    pub fn stamp(&self) -> Option<Stamp> {
        self.in_force.as_ref().map(|it| it.stamp)
    }

    /// Returns the candidate to replace the configuration in force.
    pub fn candidate(&self) -> Option<&Arc<Bundle>> {
        self.candidate.as_ref().map(|it| &it.bundle)
    }

    /// Returns whether to fetch a configuration that the platform or another node has.
    pub fn should_fetch(&self, stamp: Stamp, origin: Origin) -> bool {
        if self.in_force.as_ref().is_some_and(|it| stamp.version <= it.stamp.version) {
            return false;
        }
        let is_candidate = self.candidate.as_ref().is_some_and(|it| it.bundle.stamp == stamp);
        if origin == Origin::InForce {
            return true;
        }
        !is_candidate && !self.refused.contains(&stamp)
    }

    /// Returns whether a configuration in force on another node is a rival of the one in force
    /// here.
    pub fn conflicts_with(&self, stamp: Stamp) -> bool {
        self.stamp().is_some_and(|it| it.version == stamp.version && it != stamp)
    }

    /// Offers a bundle that was fetched, and returns what became of it.
    pub fn offer(&mut self, bundle: Arc<Bundle>, origin: Origin, now: Time) -> Verdict {
        if let Some(verdict) = self.compare_in_force(&bundle) {
            return verdict;
        }
        let findings = check(&bundle.set, &Lines::new());
        if !findings.is_empty() {
            self.refused.insert(bundle.stamp);
            return Verdict::Invalid(findings);
        }
        if origin == Origin::InForce {
            return Verdict::Accepted(self.accept(bundle));
        }
        if let Some(verdict) = self.compare_candidate(&bundle) {
            return verdict;
        }
        self.candidate = Some(Candidate { bundle, since: now });
        Verdict::Waiting
    }

    /// Accepts the candidate at once if it has the stamp, which is in force on another node.
    pub fn promote(&mut self, stamp: Stamp) -> Option<Arc<Bundle>> {
        let candidate = self.candidate.take_if(|it| it.bundle.stamp == stamp)?;
        Some(self.accept(candidate.bundle))
    }

    /// Accepts the candidate once the settle time has passed, and returns it.
    pub fn tick(&mut self, now: Time) -> Option<Arc<Bundle>> {
        let since = self.candidate.as_ref()?.since;
        if now.since(since) < self.settle {
            return None;
        }
        let candidate = self.candidate.take()?;
        Some(self.accept(candidate.bundle))
    }

    fn compare_in_force(&self, bundle: &Bundle) -> Option<Verdict> {
        let current = self.stamp()?;
        if bundle.stamp == current {
            return Some(Verdict::Known);
        }
        if bundle.stamp.version < current.version {
            return Some(Verdict::Stale);
        }
        (!bundle.follows(current)).then_some(Verdict::Conflict { current })
    }

    fn compare_candidate(&mut self, bundle: &Bundle) -> Option<Verdict> {
        let current = self.candidate.as_ref()?.bundle.stamp;
        if bundle.stamp == current {
            return Some(Verdict::Known);
        }
        if bundle.stamp.version < current.version {
            return Some(Verdict::Stale);
        }
        let is_rival = bundle.stamp.version == current.version;
        if is_rival && bundle.stamp.digest > current.digest {
            self.refused.insert(bundle.stamp);
            return Some(Verdict::Conflict { current });
        }
        None
    }

    fn accept(&mut self, bundle: Arc<Bundle>) -> Arc<Bundle> {
        self.candidate = None;
        self.refused.retain(|it| it.version > bundle.stamp.version);
        self.in_force = Some(bundle.clone());
        bundle
    }
}
