use std::{collections::BTreeMap, sync::Arc, time::Duration};

use snafu::Snafu;

use super::{Decision, Ticket};
use crate::{fingerprint::Fingerprint, name::Name, query::Answer, time::Time};

/// The tickets issued by one instance of the process of their home.
#[derive(Clone, Debug)]
pub struct Table {
    home: Name,
    boot: u64,
    ttl: Duration,
    capacity: usize,
    next_serial: u64,
    tickets: BTreeMap<u64, Entry>,
    is_closed: bool,
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

/// The error returned if the table already holds its maximum number of tickets.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the entry keeps {capacity} tickets and has no room; try again later"))]
pub struct Full {
    capacity: usize,
}

impl Table {
    /// Creates the table of the entry `home` in the instance `boot` of its process.
    ///
    /// A ticket is kept for `ttl` after it was issued, and again for `ttl` after its request has
    /// been run. The table holds at most `capacity` tickets.
    pub fn new(home: Name, boot: u64, ttl: Duration, capacity: usize) -> Table {
        let tickets = BTreeMap::new();
        Table { home, boot, ttl, capacity, next_serial: 1, tickets, is_closed: false }
    }

    /// Runs no more requests. Those that are running are finished.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Issues a ticket. Fails with [`Full`] if the table has no capacity left for it.
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

    /// Decides how to handle a request with a ticket. Returns [`Decision::Run`] at most once for
    /// each ticket.
    pub fn begin(&mut self, ticket: &Ticket, request: Fingerprint, now: Time) -> Decision {
        if ticket.home != self.home || ticket.boot != self.boot {
            return Decision::Unknown;
        }
        let ttl = self.ttl;
        let Some(entry) = self.tickets.get_mut(&ticket.serial) else { return Decision::Unknown };
        match &entry.state {
            State::Issued if now.since(entry.since) >= ttl => Decision::Unknown,
            State::Issued if self.is_closed => Decision::Closed,
            State::Issued => {
                entry.state = State::Running(request);
                Decision::Run
            }
            State::Running(known) | State::Done(known, _) if *known != request => {
                Decision::OtherRequest
            }
            State::Running(_) => Decision::Running,
            State::Done(_, answer) => Decision::Done(answer.clone()),
        }
    }

    /// Records the answer to the request of a ticket, if it is running.
    pub fn finish(&mut self, serial: u64, answer: Arc<Answer>, now: Time) {
        let Some(entry) = self.tickets.get_mut(&serial) else { return };
        let State::Running(request) = entry.state else { return };
        *entry = Entry { since: now, state: State::Done(request, answer) };
    }

    /// Returns the answer to the request of a ticket, if it has been run.
    pub fn answer(&self, ticket: &Ticket) -> Option<Arc<Answer>> {
        if ticket.home != self.home || ticket.boot != self.boot {
            return None;
        }
        match &self.tickets.get(&ticket.serial)?.state {
            State::Done(_, answer) => Some(answer.clone()),
            State::Issued | State::Running(_) => None,
        }
    }

    /// Returns the number of tickets whose request is running.
    pub fn running(&self) -> usize {
        self.tickets.values().filter(|it| matches!(it.state, State::Running(_))).count()
    }

    /// Removes the expired tickets whose request is not running.
    pub fn expire(&mut self, now: Time) {
        let ttl = self.ttl;
        self.tickets
            .retain(|_, it| matches!(it.state, State::Running(_)) || now.since(it.since) < ttl);
    }

    /// Returns the number of tickets in the table.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether the table holds no ticket.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}
