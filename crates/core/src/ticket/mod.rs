//! Tickets: how a non-idempotent request runs at most once without agreement in the fleet.
//!
//! A caller takes a [`Ticket`] before it sends the request. The request runs only at the home that
//! issued the ticket, in the life of the process that issued it; that process keeps the state of
//! the ticket in its [`Table`].

mod begin;
mod table;
#[allow(clippy::module_inception)]
mod ticket;

pub use self::{
    begin::Begin,
    table::{Full, Table},
    ticket::{Ticket, TicketError},
};
