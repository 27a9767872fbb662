//! Tickets, which let a non-idempotent request run at most once without consensus between nodes.
//!
//! A caller obtains a [`Ticket`] before it sends the request. The request runs only at the home of
//! the ticket: the entry that issued it. The process that issued the ticket keeps its state in a
//! [`Table`]; after a restart of the process the ticket is no longer valid.

mod decision;
mod table;
#[allow(clippy::module_inception)]
mod ticket;

pub use self::{
    decision::Decision,
    table::{Full, Table},
    ticket::{Ticket, TicketError},
};
