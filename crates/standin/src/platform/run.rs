use std::{io, net::SocketAddr, sync::Arc};

use poem::{Server, listener::TcpAcceptor};
use tokio::{net::TcpListener, task::JoinHandle};

use super::{Store, service::service};

/// A running model of the platform. It stops when it is dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    store: Arc<Store>,
    task: JoinHandle<io::Result<()>>,
}

impl Platform {
    /// Starts the platform on an address; port 0 picks a free one. Fails if the address can't be
    /// bound.
    pub async fn start(address: SocketAddr) -> io::Result<Platform> {
        let acceptor = TcpAcceptor::from_tokio(TcpListener::bind(address).await?)?;
        let address = poem::listener::Acceptor::local_addr(&acceptor)
            .first()
            .and_then(|it| it.as_socket_addr().copied())
            .unwrap_or(address);
        let store = Arc::new(Store::new());
        let task = tokio::spawn(Server::new_with_acceptor(acceptor).run(service(store.clone())));
        Ok(Platform { address, store, task })
    }

    /// Returns the address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the contents of the platform.
    pub fn store(&self) -> &Arc<Store> {
        &self.store
    }

    /// Runs the platform until the future is dropped.
    pub async fn run(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.task.abort();
    }
}
