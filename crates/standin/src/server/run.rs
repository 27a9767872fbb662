use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use poem::Server as HttpServer;
use tokio::{net::TcpListener, task::JoinHandle};

use super::{Model, Spec, acceptor::LimitedAcceptor, service::service};

/// The time until a crashed process listens again.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// A running model of a backend server. It stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    model: Arc<Model>,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on an address; port 0 picks a free one. Fails if the address can't be bound.
    pub async fn start(address: SocketAddr, spec: Spec) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let model = Arc::new(Model::new(spec));
        let task = tokio::spawn(serve(listener, address, model.clone()));
        Ok(Server { address, model, task })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the model that holds the state of the server.
    pub fn model(&self) -> &Arc<Model> {
        &self.model
    }

    /// Runs the server until the future is dropped.
    pub async fn run(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
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
        let crash_token = model.crash_token();
        let acceptor = LimitedAcceptor::new(listener, address, model.clone());
        // The connections close at once when the process crashes.
        let _ = HttpServer::new_with_acceptor(acceptor)
            .run_with_graceful_shutdown(
                service(model.clone()),
                crash_token.cancelled(),
                Some(Duration::ZERO),
            )
            .await;
    }
}
