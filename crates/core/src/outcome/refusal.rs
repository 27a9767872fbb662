use std::fmt;

use serde::{Deserialize, Serialize};

/// Why an attempt did not run. Each reason implies that no server started it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The gate's queue for the server is full, or a more urgent request displaced this one.
    QueueFull,
    /// The deadline passed before the attempt was sent.
    Expired,
    /// The caller cancelled before the attempt was sent.
    Cancelled,
    /// The server is leaving.
    ServerLeaving,
    /// The data centre of the server is closed to requests.
    DataCentreClosed,
    /// The server does not hold the snapshot. It holds these versions of the index.
    NotHeld(Vec<u64>),
    /// The server was overloaded and answered that it did not start the request.
    Shed,
    /// No connection to the server could be opened.
    Unreachable,
    /// The gate does not know the server.
    UnknownServer,
    /// The gate is stopping and accepts no new requests.
    GateLeaving,
    /// The gate could not be reached, so that nothing was sent to it.
    GateUnreachable,
    /// The content of the request is quarantined because servers crashed while running it.
    Quarantined,
    /// The entry is overloaded for requests of this class.
    Overloaded,
    /// No configuration is in force yet, or it has no such rule.
    NotConfigured,
    /// The request is not idempotent and came without a ticket.
    TicketMissing,
    /// The ticket belongs to another request.
    TicketTaken,
    /// The home of the ticket is stopping and runs no new requests.
    HomeLeaving,
    /// The gate has no contact with the rest of the system and cannot know whether it may send.
    Isolated,
}

impl Refusal {
    /// Returns whether the reason is overload. A retry elsewhere then adds load where there may be
    /// no spare capacity.
    pub fn is_overload(&self) -> bool {
        matches!(self, Refusal::QueueFull | Refusal::Shed | Refusal::Overloaded)
    }

    /// Returns whether the reason lies with the gate, so that another gate may serve the request.
    pub fn is_gate_specific(&self) -> bool {
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
            Refusal::HomeLeaving => {
                "the home of the ticket is stopping; take a new one with POST /v1/tickets"
            }
            Refusal::Isolated => "the gate has lost contact with the rest of the system",
        })
    }
}
