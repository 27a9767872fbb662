use std::{net::SocketAddr, sync::Arc, time::SystemTime};

use jsonrpsee::server::ServerHandle;
use mimosabridge::{gate::Settings, name::Name};
use mimosabridge_cli::Fault;
use poem::listener::{Acceptor, Listener, TcpListener};
use snafu::ResultExt;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{mpsc, oneshot, watch},
};
use tokio_util::sync::CancellationToken;

use super::{Config, Role};
use crate::{
    clock::Clock,
    entry::{self, Front},
    events,
    fleet::{Keeper, View},
    gate, timer,
};

/// A running node.
pub struct Node {
    name: Name,
    http_address: Option<SocketAddr>,
    rpc_address: Option<SocketAddr>,
    stopping: CancellationToken,
    gate: Option<(mpsc::UnboundedSender<gate::Message>, ServerHandle)>,
    entry: Option<tokio::task::JoinHandle<std::io::Result<()>>>,
}

impl Node {
    /// Starts a node: binds its addresses and follows the platform.
    pub async fn start(config: Config) -> Result<Node, Fault> {
        let timer = timer::Service::start(Clock::new());
        let (sender, view) = watch::channel(Arc::new(View::default()));
        let mut node = Node {
            name: config.name.clone(),
            http_address: None,
            rpc_address: None,
            stopping: CancellationToken::new(),
            gate: None,
            entry: None,
        };
        Keeper::new(&config, timer.clone(), sender).start();
        if config.roles.contains(&Role::Gate) {
            node.start_gate(&config, timer.clone(), view.clone()).await?;
        }
        if config.roles.contains(&Role::Entry) {
            node.start_entry(&config, timer, view).await?;
        }
        events::NODE_STARTED.emit(&[("node", &node.name), ("data_centre", &config.data_centre)]);
        Ok(node)
    }

    /// Returns where callers connect, if the node is an entry.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.http_address
    }

    /// Returns where entries connect, if the node is a gate.
    pub fn rpc_address(&self) -> Option<SocketAddr> {
        self.rpc_address
    }

    /// Serves until the process is told to stop, then stops as planned.
    pub async fn serve(self) -> Result<(), Fault> {
        let mut terminate =
            signal(SignalKind::terminate()).whatever_context("cannot listen for signals")?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        self.stop().await;
        Ok(())
    }

    /// Stops as planned: takes nothing new, finishes what it has, and ends.
    pub async fn stop(self) {
        events::NODE_STOPPING.emit(&[("node", &self.name)]);
        self.stopping.cancel();
        if let Some(entry) = self.entry {
            let _ = entry.await;
        }
        if let Some((actor, server)) = self.gate {
            let (done, finished) = oneshot::channel();
            let _ = actor.send(gate::Message::Stop(done));
            let _ = finished.await;
            let _ = server.stop();
        }
        events::NODE_STOPPED.emit(&[("node", &self.name)]);
    }

    async fn start_gate(
        &mut self,
        config: &Config,
        timer: timer::Service,
        view: watch::Receiver<Arc<View>>,
    ) -> Result<(), Fault> {
        let actor = gate::Actor::start(config.name.clone(), Settings::new(), timer, view);
        let listen = config.rpc_listen;
        let started = gate::Server::start(listen, actor.clone()).await;
        let (address, server) =
            started.with_whatever_context(|_| format!("cannot listen on {listen}"))?;
        self.rpc_address = Some(address);
        self.gate = Some((actor, server));
        Ok(())
    }

    async fn start_entry(
        &mut self,
        config: &Config,
        timer: timer::Service,
        view: watch::Receiver<Arc<View>>,
    ) -> Result<(), Fault> {
        let front = Arc::new(Front::new(config.data_centre.clone(), boot(), timer, view));
        tokio::spawn(front.clone().follow());
        let listen = config.http_listen;
        let acceptor = TcpListener::bind(listen).into_acceptor().await;
        let acceptor = acceptor.with_whatever_context(|_| format!("cannot listen on {listen}"))?;
        self.http_address =
            acceptor.local_addr().first().and_then(|it| it.as_socket_addr().copied());
        let stopping = self.stopping.clone();
        let server = poem::Server::new_with_acceptor(acceptor);
        self.entry = Some(tokio::spawn(async move {
            let signal = stopping.cancelled_owned();
            server.run_with_graceful_shutdown(entry::routes(front), signal, None).await
        }));
        Ok(())
    }
}

/// Returns a number that tells this process from its earlier ones.
fn boot() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_nanos() as u64
}
