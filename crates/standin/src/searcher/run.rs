use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use poem::Server;
use tokio::{net::TcpListener, task::JoinHandle};

use super::{Model, Spec, acceptor::LimitedAcceptor, service::service};

/// How long a crashed process takes to listen again.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// A running modelled server. It stops when it is dropped.
#[derive(Debug)]
pub struct Searcher {
    address: SocketAddr,
    model: Arc<Model>,
    task: JoinHandle<()>,
}

impl Searcher {
    /// Starts a server on an address; port 0 picks a free one.
    pub async fn start(address: SocketAddr, spec: Spec) -> io::Result<Searcher> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let model = Arc::new(Model::new(spec));
        let task = tokio::spawn(serve(listener, address, model.clone()));
        Ok(Searcher { address, model, task })
    }

    /// Returns where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the state of the server.
    pub fn model(&self) -> &Arc<Model> {
        &self.model
    }

    /// Waits for ever, as the server runs until it is dropped.
    pub async fn run(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for Searcher {
    fn drop(&mut self) {
        self.task.abort();
        self.model.crash();
    }
}

async fn serve(listener: TcpListener, address: SocketAddr, model: Arc<Model>) {
    let mut next = Some(listener);
    loop {
        let Some(listener) = next.take() else {
            tokio::time::sleep(RESTART_TIME).await;
            next = TcpListener::bind(address).await.ok();
            continue;
        };
        let life = model.life();
        let acceptor = LimitedAcceptor::new(listener, address, model.clone());
        // The connections close at once when the process crashes.
        let _ = Server::new_with_acceptor(acceptor)
            .run_with_graceful_shutdown(
                service(model.clone()),
                life.cancelled(),
                Some(Duration::ZERO),
            )
            .await;
    }
}
