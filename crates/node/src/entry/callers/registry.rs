use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use tokio_util::sync::CancellationToken;

/// The open connections of callers. Clones share the same connections.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    tokens: Arc<Mutex<HashMap<SocketAddr, CancellationToken>>>,
}

impl Registry {
    /// Creates a registry without connections.
    pub fn new() -> Registry {
        Registry::default()
    }

    /// Adds a connection and returns the token that is cancelled when it closes.
    pub fn open(&self, caller: SocketAddr) -> CancellationToken {
        let token = CancellationToken::new();
        self.tokens().insert(caller, token.clone());
        token
    }

    /// Removes a connection.
    pub fn close(&self, caller: SocketAddr) {
        self.tokens().remove(&caller);
    }

    /// Returns a token that is cancelled when the connection of a caller closes, if it is open.
    pub fn token(&self, caller: SocketAddr) -> Option<CancellationToken> {
        self.tokens().get(&caller).map(CancellationToken::child_token)
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.tokens().len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.tokens().is_empty()
    }

    fn tokens(&self) -> MutexGuard<'_, HashMap<SocketAddr, CancellationToken>> {
        self.tokens.lock().expect("no holder of the lock panics")
    }
}
