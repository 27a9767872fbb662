use std::collections::HashMap;

use serde::{
    Deserialize, Deserializer, Serialize,
    de::{Error, IgnoredAny},
};
use serde_json::value::RawValue;

use super::Position;
use crate::{directory::Entry, name::Name, plan::Spec};

/// One published fact.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Fact {
    /// A version of the configuration.
    Plan(Spec),
    /// A backend server.
    Server(Entry),
    /// The entry of a backend server was removed, or names no server that can be used.
    Gone(Name),
    /// The entry of a backend server was removed while the store was unavailable or had just
    /// recovered. Only nodes send this; the store reports such an entry as gone.
    Lapsed(Name),
    /// The servers of a data centre must not receive requests.
    Closed(Name),
    /// The servers of a data centre may receive requests again.
    Opened(Name),
    /// A fact of a kind that this build doesn't know, with the name of the kind. Only nodes of later
    /// builds send such facts; they are never passed on.
    #[serde(skip)]
    Unknown(Name),
}

/// The names of the known kinds.
const KINDS: [&str; 6] = ["Plan", "Server", "Gone", "Lapsed", "Closed", "Opened"];

/// The facts that hold at a position of the store or, in a delta, those published up to it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// The position of the store.
    pub position: Position,
    /// The facts.
    #[serde(deserialize_with = "read_all")]
    pub facts: Vec<Fact>,
}

/// What a node sends to a peer that lacks published facts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Update {
    /// All facts.
    All(Snapshot),
    /// The facts that were published after the position that the peer knows.
    Since(Snapshot),
}

impl Update {
    /// Returns the number of facts of unknown kinds.
    pub fn unknown(&self) -> u32 {
        let (Update::All(snapshot) | Update::Since(snapshot)) = self;
        snapshot.facts.iter().filter(|it| matches!(it, Fact::Unknown(_))).count() as u32
    }
}

/// Reads facts, with those of unknown kinds as [`Fact::Unknown`].
///
/// Fails if a fact of a known kind can't be read. The node would lack it without a sign, as the
/// position says that it knows all facts up to there; after a failure it gets them from elsewhere.
fn read_all<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Fact>, D::Error> {
    let texts = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    texts.iter().map(|it| read(it.get()).map_err(D::Error::custom)).collect()
}

fn read(text: &str) -> serde_json::Result<Fact> {
    serde_json::from_str(text).or_else(|error| unknown_kind(text).map(Fact::Unknown).ok_or(error))
}

/// Returns the name of the kind of a fact, if it is unknown.
fn unknown_kind(text: &str) -> Option<Name> {
    let kind = match serde_json::from_str::<HashMap<String, IgnoredAny>>(text) {
        Ok(fact) => fact.into_keys().next()?,
        Err(_) => serde_json::from_str(text).ok()?,
    };
    (!KINDS.contains(&&kind[..])).then(|| Name::new(kind))
}
