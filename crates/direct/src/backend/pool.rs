use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use http::HeaderValue;
use mimosabridge::{balance::IDLE_TIMEOUT, name::Name, plan::Repeat, time::Time};

use super::{Link, LinkError, Memory, Outgoing};

/// The longest idle time of a connection that may carry a request that must not be sent twice: a
/// connection that has been idle for longer may be dead or about to be closed.
const ONCE_MAX_IDLE: Duration = Duration::from_millis(1_000);

/// The idle connections of this node to servers, by the identity of the server. A connection belongs
/// to one process instance of its server.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<Name, Vec<Link>>>,
    memory: Memory,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Pool {
        Pool::default()
    }

    /// Makes the answers over the connections count in a memory.
    pub fn with_memory(self, memory: Memory) -> Pool {
        Pool { memory, ..self }
    }

    /// Opens a connection. It is not in the pool until it is kept.
    pub async fn open(&self, address: SocketAddr, now: Time) -> Result<Link, LinkError> {
        Link::open(address, self.memory.clone(), now).await
    }

    /// Takes the most recently used connection to a server that may carry a request. One whose last
    /// request had the same identity is closed: a late copy of that answer would look like the answer
    /// to this request.
    pub async fn take(&self, server: &Name, request: &Outgoing, now: Time) -> Option<Link> {
        let max_idle = match request.repeat {
            Repeat::Idempotent => IDLE_TIMEOUT,
            Repeat::Once => ONCE_MAX_IDLE.min(IDLE_TIMEOUT),
        };
        loop {
            let mut link = self.idle.borrow_mut().get_mut(server)?.pop()?;
            if now.since(link.last_used) > max_idle {
                // The others have been idle even longer.
                self.idle.borrow_mut().remove(server);
                return None;
            }
            if link.last_id.as_ref() != Some(&request.id) && link.is_usable().await {
                return Some(link);
            }
        }
    }

    /// Returns a connection to the pool, if it can be reused. `id` is the identity of the request that
    /// it has carried.
    pub async fn keep(&self, server: &Name, mut link: Link, id: &HeaderValue, now: Time) {
        if link.is_usable().await {
            link.last_used = now;
            link.last_id = Some(id.clone());
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
