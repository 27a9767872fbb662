use std::{collections::BTreeMap, sync::Arc, time::Duration};

use snafu::Snafu;

use super::{Begin, Ticket};
use crate::{fingerprint::Fingerprint, name::Name, query::Answer, time::Time};

/// The tickets of one home, in one life of its process.
#[derive(Clone, Debug)]
pub struct Table {
    home: Name,
    boot: u64,
    ttl: Duration,
    capacity: usize,
    next_serial: u64,
    tickets: BTreeMap<u64, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    since: Time,
    state: State,
}

#[derive(Clone, Debug)]
enum State {
    Issued,
    Running(Fingerprint),
    Done(Fingerprint, Arc<Answer>),
}

/// The home keeps as many tickets as it can.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the entry keeps {capacity} tickets and has no room; try again later"))]
pub struct Full {
    capacity: usize,
}

impl Table {
    /// Creates the table of a home. Tickets are kept for `ttl` after they are issued and again
    /// after their run; the table holds at most `capacity` of them.
    pub fn new(home: Name, boot: u64, ttl: Duration, capacity: usize) -> Table {
        Table { home, boot, ttl, capacity, next_serial: 1, tickets: BTreeMap::new() }
    }

    /// Issues a ticket.
    pub fn issue(&mut self, now: Time) -> Result<Ticket, Full> {
        if self.tickets.len() >= self.capacity {
            self.expire(now);
        }
        if self.tickets.len() >= self.capacity {
            return Err(Full { capacity: self.capacity });
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        self.tickets.insert(serial, Entry { since: now, state: State::Issued });
        Ok(Ticket { home: self.home.clone(), boot: self.boot, serial })
    }

    /// Takes the request of a ticket. Returns [`Begin::Run`] at most once for each ticket.
    pub fn begin(&mut self, ticket: &Ticket, request: Fingerprint, now: Time) -> Begin {
        if ticket.home != self.home || ticket.boot != self.boot {
            return Begin::Unknown;
        }
        let ttl = self.ttl;
        let Some(entry) = self.tickets.get_mut(&ticket.serial) else { return Begin::Unknown };
        match &entry.state {
            State::Issued if now.since(entry.since) >= ttl => Begin::Unknown,
            State::Issued => {
                entry.state = State::Running(request);
                Begin::Run
            }
            State::Running(known) | State::Done(known, _) if *known != request => {
                Begin::OtherRequest
            }
            State::Running(_) => Begin::Running,
            State::Done(_, answer) => Begin::Done(answer.clone()),
        }
    }

    /// Takes the answer of the run of a ticket.
    pub fn finish(&mut self, serial: u64, answer: Arc<Answer>, now: Time) {
        let Some(entry) = self.tickets.get_mut(&serial) else { return };
        let State::Running(request) = entry.state else { return };
        *entry = Entry { since: now, state: State::Done(request, answer) };
    }

    /// Returns the answer of a run that is over.
    pub fn answer(&self, ticket: &Ticket) -> Option<Arc<Answer>> {
        if ticket.home != self.home || ticket.boot != self.boot {
            return None;
        }
        match &self.tickets.get(&ticket.serial)?.state {
            State::Done(_, answer) => Some(answer.clone()),
            State::Issued | State::Running(_) => None,
        }
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> usize {
        self.tickets.values().filter(|it| matches!(it.state, State::Running(_))).count()
    }

    /// Forgets the tickets that are older than their time and not running.
    pub fn expire(&mut self, now: Time) {
        let ttl = self.ttl;
        self.tickets
            .retain(|_, it| matches!(it.state, State::Running(_)) || now.since(it.since) < ttl);
    }

    /// Returns the number of tickets that are kept.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no ticket is kept.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}
