use serde::{Deserialize, Serialize};

use super::{Mark, Record, State};
use crate::{
    balance::Sample, config::Stamp, feed::Restriction, fingerprint::Fingerprint, name::Name,
    quarantine::Evidence,
};

/// A news item, which spreads to every node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum News {
    /// The full record of a node that the receiver may not know yet.
    Member(Record),
    /// The state of a node that the receiver knows, in a fifth of the bytes of its record.
    State(Mark),
    /// A configuration is in force on some node, or a candidate on it.
    Config {
        /// The stamp of the configuration.
        stamp: Stamp,
        /// Whether it is in force.
        in_force: bool,
    },
    /// A backend server was observed to be leaving.
    Leaving {
        /// The name of the server.
        server: Name,
        /// Increases each time the server is observed to be leaving again.
        round: u32,
    },
    /// What a node knows of a content that may crash servers.
    Evidence {
        /// The fingerprint of the content.
        fingerprint: Fingerprint,
        /// What is known.
        evidence: Evidence,
    },
    /// A restriction that is kept although the restored store does not state it.
    Restriction {
        /// The restriction.
        restriction: Restriction,
        /// How much longer the sender keeps it, in milliseconds.
        left_millis: u32,
    },
    /// Servers whose stated limits have ended, by the hashes of their names.
    Unlimited(Vec<u32>),
    /// Recent observations of backend servers by one node.
    Seen(Vec<Sample>),
}

impl News {
    /// Returns whether the news is pushed at once instead of waiting for the next probes.
    pub fn is_urgent(&self) -> bool {
        match self {
            News::Member(record) => record.state == State::Leaving,
            News::State(mark) => matches!(mark.state, State::Leaving | State::Dead),
            News::Config { .. } | News::Leaving { .. } | News::Evidence { .. } => true,
            News::Restriction { .. } | News::Seen(_) | News::Unlimited(_) => false,
        }
    }

    /// Returns whether this news makes `other` obsolete.
    pub fn replaces(&self, other: &News) -> bool {
        match (self, other) {
            (News::Member(new), News::Member(old)) => new.name == old.name,
            (News::Member(new), News::State(old)) => new.key() == old.key,
            (News::State(new), News::State(old)) => new.key == old.key,
            (News::Config { .. }, News::Config { .. }) => true,
            (News::Leaving { server: new, .. }, News::Leaving { server: old, .. }) => new == old,
            _ => self == other,
        }
    }
}
