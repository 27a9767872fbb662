use serde::{Deserialize, Serialize};

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
}

/// The facts that hold at a position of the store or, in a delta, those published up to it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// The position of the store.
    pub position: Position,
    /// The facts.
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
