use std::{cell::RefCell, collections::HashMap, time::Duration};

use mimosabridge::{balance::IDLE_TIMEOUT, name::Name, time::Time};

use super::Link;

/// The idle connections of this node to servers, by the identity of the server. A connection belongs
/// to one process instance of its server.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<Name, Vec<Link>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Pool {
        Pool::default()
    }

    /// Takes the most recently used connection to a server, if it has been idle for at most
    /// `max_idle`.
    pub async fn take(&self, server: &Name, max_idle: Duration, now: Time) -> Option<Link> {
        loop {
            let mut link = self.idle.borrow_mut().get_mut(server)?.pop()?;
            if now.since(link.last_used) > max_idle.min(IDLE_TIMEOUT) {
                // The others have been idle even longer.
                self.idle.borrow_mut().remove(server);
                return None;
            }
            if link.is_usable().await {
                return Some(link);
            }
        }
    }

    /// Returns a connection to the pool, if it can be reused.
    pub async fn keep(&self, server: &Name, mut link: Link, now: Time) {
        if link.is_usable().await {
            link.last_used = now;
            self.idle.borrow_mut().entry(server.clone()).or_default().push(link);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_all(&self, server: &Name) {
        self.idle.borrow_mut().remove(server);
    }

    /// Closes the connections that have been idle for longer than [`IDLE_TIMEOUT`].
    pub fn expire(&self, now: Time) {
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|it| now.since(it.last_used) <= IDLE_TIMEOUT);
        }
        idle.retain(|_, it| !it.is_empty());
    }
}
