use std::fmt;

use serde::{Deserialize, Serialize};

/// Why an attempt was not run. Each reason implies that no server started it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The queue of the server is full at the gate, or a more urgent request took the place.
    QueueFull,
    /// The deadline passed before the attempt was sent.
    Expired,
    /// The caller cancelled before the attempt was sent.
    Cancelled,
    /// The server is leaving.
    ServerLeaving,
    /// The data centre is taken out.
    DataCentreClosed,
    /// The server does not hold the snapshot; it holds these versions of the index.
    NotHeld(Vec<u64>),
    /// The server has no room and said that it did not start the request.
    Shed,
    /// No connection to the server could be opened.
    Unreachable,
    /// The server is not known at the gate.
    UnknownServer,
    /// The gate is stopping and takes no new work.
    GateLeaving,
    /// The gate was not reached: nothing was sent to it.
    GateUnreachable,
    /// The content of the request is quarantined because servers crashed while running it.
    Quarantined,
    /// The entry has no room for requests of this class.
    Overloaded,
    /// No configuration is in force yet, or it has no such rule.
    NotConfigured,
    /// The request is not idempotent and came without a ticket.
    TicketMissing,
    /// The ticket names another request.
    TicketTaken,
    /// The gate has no contact with the rest of the system and cannot know whether it may send.
    Isolated,
}

impl Refusal {
    /// Returns whether there was no room for the request, so that trying elsewhere adds load where
    /// there may be none to spare.
    pub fn is_overload(&self) -> bool {
        matches!(self, Refusal::QueueFull | Refusal::Shed | Refusal::Overloaded)
    }

    /// Returns whether the gate refused for its own sake, so that another gate may serve.
    pub fn blames_gate(&self) -> bool {
        matches!(
            self,
            Refusal::GateLeaving
                | Refusal::GateUnreachable
                | Refusal::Isolated
                | Refusal::UnknownServer
        )
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::QueueFull => "the queue of the server is full; try again later",
            Refusal::Expired => "the deadline passed before the request was sent",
            Refusal::Cancelled => "the request was cancelled before it was sent",
            Refusal::ServerLeaving => "the server is leaving",
            Refusal::DataCentreClosed => "the data centre is taken out",
            Refusal::NotHeld(_) => "the server does not hold the snapshot",
            Refusal::Shed => "the server has no room; try again later",
            Refusal::Unreachable => "the server cannot be reached",
            Refusal::UnknownServer => "the gate does not know the server",
            Refusal::GateLeaving => "the gate is stopping",
            Refusal::GateUnreachable => "the gate cannot be reached",
            Refusal::Quarantined => {
                "servers crashed while they ran this content; change the query or wait five minutes"
            }
            Refusal::Overloaded => "there is no room for requests of this class; try again later",
            Refusal::NotConfigured => {
                "no such rule is configured here; check the name, or wait until the node is ready"
            }
            Refusal::TicketMissing => {
                "a request that is not idempotent needs a ticket; take one with POST /v1/tickets"
            }
            Refusal::TicketTaken => {
                "the ticket names another request; take a new one with POST /v1/tickets"
            }
            Refusal::Isolated => "the gate has lost contact with the rest of the system",
        })
    }
}
