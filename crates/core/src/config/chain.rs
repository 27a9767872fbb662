use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{Bundle, Finding, Lines, Stamp, check};
use crate::time::Time;

/// Which configuration a node has in force, and which one is about to be.
///
/// A configuration that is read from the platform is a candidate for the settle time. If a rival
/// appears meanwhile (two operators replaced the same version), every node picks the rival with
/// the lower digest. A configuration that is in force on another node is accepted at once. With a
/// settle time of twice the time that news takes to reach every node, no two nodes that can hear
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

/// Where an offered bundle came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Read from the platform, or a candidate on another node.
    Published,
    /// In force on another node.
    InForce,
}

/// What became of an offered bundle.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The bundle is in force now.
    Accepted(Arc<Bundle>),
    /// The bundle is the candidate.
    Waiting,
    /// The bundle is in force or the candidate already.
    Known,
    /// A higher version is in force; the source is stale.
    Stale,
    /// The bundle does not follow the configuration in force, or lost against a rival.
    Conflict {
        /// The configuration that stands.
        standing: Stamp,
    },
    /// The bundle is inconsistent.
    Invalid(Vec<Finding>),
}

impl Chain {
    /// Creates a chain with nothing in force.
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

    /// Returns the candidate.
    pub fn candidate(&self) -> Option<&Arc<Bundle>> {
        self.candidate.as_ref().map(|it| &it.bundle)
    }

    /// Returns whether a configuration that somebody names is worth fetching.
    pub fn wants(&self, stamp: Stamp, origin: Origin) -> bool {
        if self.in_force.as_ref().is_some_and(|it| stamp.version <= it.stamp.version) {
            return false;
        }
        let is_candidate = self.candidate.as_ref().is_some_and(|it| it.bundle.stamp == stamp);
        if origin == Origin::InForce {
            return true;
        }
        !is_candidate && !self.refused.contains(&stamp)
    }

    /// Returns whether a stamp in force elsewhere contradicts what is in force here.
    pub fn contradicts(&self, stamp: Stamp) -> bool {
        self.stamp().is_some_and(|it| it.version == stamp.version && it != stamp)
    }

    /// Takes a bundle that was fetched.
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

    /// Accepts the candidate at once if it has the stamp, because it is in force on another node.
    pub fn promote(&mut self, stamp: Stamp) -> Option<Arc<Bundle>> {
        let candidate = self.candidate.take_if(|it| it.bundle.stamp == stamp)?;
        Some(self.accept(candidate.bundle))
    }

    /// Accepts the candidate once it has settled, and returns it.
    pub fn tick(&mut self, now: Time) -> Option<Arc<Bundle>> {
        let since = self.candidate.as_ref()?.since;
        if now.since(since) < self.settle {
            return None;
        }
        let candidate = self.candidate.take()?;
        Some(self.accept(candidate.bundle))
    }

    fn compare_in_force(&self, bundle: &Bundle) -> Option<Verdict> {
        let standing = self.stamp()?;
        if bundle.stamp == standing {
            return Some(Verdict::Known);
        }
        if bundle.stamp.version < standing.version {
            return Some(Verdict::Stale);
        }
        (!bundle.follows(standing)).then_some(Verdict::Conflict { standing })
    }

    fn compare_candidate(&mut self, bundle: &Bundle) -> Option<Verdict> {
        let standing = self.candidate.as_ref()?.bundle.stamp;
        if bundle.stamp == standing {
            return Some(Verdict::Known);
        }
        if bundle.stamp.version < standing.version {
            return Some(Verdict::Stale);
        }
        let is_rival = bundle.stamp.version == standing.version;
        if is_rival && bundle.stamp.digest > standing.digest {
            self.refused.insert(bundle.stamp);
            return Some(Verdict::Conflict { standing });
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
