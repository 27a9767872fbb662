use std::{cell::RefCell, collections::HashMap, time::Duration};

use mimosabridge::{balance::IDLE_TIMEOUT, name::Name, time::Time};

use super::Link;

/// Idle connections to all servers of this node. The server and its life name a connection.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<Name, Vec<Link>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Pool {
        Pool::default()
    }

    /// Takes the connection to a server that was used last, if it was used within `freshness`.
    pub async fn take(&self, server: &Name, freshness: Duration, now: Time) -> Option<Link> {
        loop {
            let mut link = self.idle.borrow_mut().get_mut(server)?.pop()?;
            if now.since(link.used) > freshness.min(IDLE_TIMEOUT) {
                // The others were used even earlier.
                self.idle.borrow_mut().remove(server);
                return None;
            }
            if link.is_usable().await {
                return Some(link);
            }
        }
    }

    /// Keeps a connection for later, if it can be used again.
    pub async fn keep(&self, server: &Name, mut link: Link, now: Time) {
        if link.is_usable().await {
            link.used = now;
            self.idle.borrow_mut().entry(server.clone()).or_default().push(link);
        }
    }

    /// Closes the connections to a server.
    pub fn drop_all(&self, server: &Name) {
        self.idle.borrow_mut().remove(server);
    }

    /// Closes the connections that were idle for too long.
    pub fn expire(&self, now: Time) {
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|it| now.since(it.used) <= IDLE_TIMEOUT);
        }
        idle.retain(|_, it| !it.is_empty());
    }
}
