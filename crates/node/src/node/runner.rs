use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use jsonrpsee::{RpcModule, server::ServerHandle};
use mimosabridge::{
    fingerprint::Fingerprint,
    gate::Settings,
    member::{Incarnation, Record, Roles, State},
    name::Name,
    quarantine::List,
};
use mimosabridge_cli::Fault;
use poem::listener::TcpAcceptor;
use snafu::ResultExt;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

use super::{Config, Role, Signals};
use crate::{
    admin,
    clock::Clock,
    entry::{
        self, Coordinator, Home, HomeServer,
        callers::{CallerAcceptor, Registry},
    },
    events,
    fleet::{self, Actor, Connectivity, PeerServer, View},
    gate::{self, GateServer},
    metrics::Metrics,
    platform, rpc, timer,
    trace::Tracer,
};

/// How long a stopping node still answers other nodes after its own work is done.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(500);

/// How long after the last deadline callers may take to receive their answers. Those that use
/// tickets of other entries are answered up to a second after it.
const LAST_ANSWERS_TIME: Duration = Duration::from_secs(2);

/// A running node.
pub struct Node {
    name: Name,
    drain: Duration,
    timer: timer::Service,
    http_address: Option<SocketAddr>,
    admin_address: Option<SocketAddr>,
    record: Record,
    fleet: mpsc::UnboundedSender<fleet::Message>,
    view: watch::Receiver<Arc<View>>,
    quarantine: Arc<Mutex<List>>,
    metrics: Metrics,
    tracer: Tracer,
    exchange: JoinHandle<()>,
    gate: Option<mpsc::UnboundedSender<gate::Message>>,
    entry: Option<Entry>,
    server: ServerHandle,
}

/// The entry part of a node.
struct Entry {
    coordinator: Arc<Coordinator>,
    home: Home,
    stopping: CancellationToken,
    task: JoinHandle<std::io::Result<()>>,
}

/// What the entry, the gate and the admin service of a node share.
struct Shared {
    boot: u64,
    timer: timer::Service,
    view: watch::Receiver<Arc<View>>,
    connectivity: Connectivity,
    quarantine: Arc<Mutex<List>>,
    metrics: Metrics,
    tracer: Tracer,
    fleet: mpsc::UnboundedSender<fleet::Message>,
}

impl Node {
    /// Starts a node: binds its addresses, joins the fleet and follows the platform.
    pub async fn start(config: Config) -> Result<Node, Fault> {
        let timer = timer::Service::start(Clock::new());
        let (views, view) = watch::channel(Arc::new(View::default()));
        let connectivity = Connectivity::new();
        let quarantine = Arc::new(Mutex::new(List::new()));
        let metrics = Metrics::new();
        let tracer = match &config.trace_endpoint {
            Some(endpoint) => {
                let tracer = Tracer::with_collector(&config.name, endpoint, config.trace_ratio);
                tracer.whatever_context("cannot start tracing")?
            }
            None => Tracer::new(),
        };
        let boot = boot();
        let listener = listen_context(rpc::bind(config.rpc_listen).await, config.rpc_listen)?;
        let socket = listen_context(UdpSocket::bind(config.peer_listen).await, config.peer_listen)?;
        let record = Record {
            name: config.name.clone(),
            data_centre: config.data_centre.clone(),
            roles: Roles {
                entry: config.roles.contains(&Role::Entry),
                gate: config.roles.contains(&Role::Gate),
            },
            peer: advertised(listen_context(socket.local_addr(), config.peer_listen)?, &config),
            rpc: advertised(listen_context(listener.local_addr(), config.rpc_listen)?, &config),
            incarnation: Incarnation { boot, refutation: 0 },
            state: State::Alive,
        };
        let (fleet, exchange) = Actor::start(fleet::Parts {
            own: record.clone(),
            socket,
            seeds: config.seeds.clone(),
            platform: platform::Client::new(config.platform),
            timer: timer.clone(),
            views,
            connectivity: connectivity.clone(),
            quarantine: quarantine.clone(),
            metrics: metrics.clone(),
        });
        let mut methods = RpcModule::new(());
        merge(&mut methods, fleet::Server::new(fleet.clone()).into_rpc())?;
        let shared = Shared { boot, timer, view, connectivity, quarantine, metrics, tracer, fleet };
        let gate = if record.roles.gate { Some(start_gate(&config, &shared)) } else { None };
        if let Some(actor) = &gate {
            merge(&mut methods, gate::Server::new(actor.clone()).into_rpc())?;
        }
        let mut http_address = None;
        let mut entry = None;
        if record.roles.entry {
            let (address, started) = start_entry(&config, &shared).await?;
            merge(&mut methods, started.home.clone().into_rpc())?;
            http_address = Some(address);
            entry = Some(started);
        }
        let server = listen_context(rpc::serve(listener, methods), config.rpc_listen)?;
        let mut admin_address = None;
        if let Some(listen) = config.admin_listen {
            admin_address = Some(start_admin(listen, &config, &shared, gate.clone()).await?);
        }
        events::NODE_STARTED.emit(&[("node", &config.name), ("data_centre", &config.data_centre)]);
        Ok(Node {
            name: config.name,
            drain: config.drain,
            timer: shared.timer,
            http_address,
            admin_address,
            record,
            fleet: shared.fleet,
            view: shared.view,
            quarantine: shared.quarantine,
            metrics: shared.metrics,
            tracer: shared.tracer,
            exchange,
            gate,
            entry,
            server,
        })
    }

    /// Returns the address that callers connect to, if the node is an entry.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.http_address
    }

    /// Returns the address that operators connect to, if the node serves them.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_address
    }

    /// Returns the membership record that the node started with.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns what the node knows about the fleet.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Returns whether the node refuses a content because it crashed servers.
    pub fn is_quarantined(&self, content: Fingerprint) -> bool {
        let now = self.timer.now();
        let list = self.quarantine.lock().expect("no holder of the lock panics");
        list.is_quarantined(content, now)
    }

    /// Returns the metrics of the node.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Aborts the exchange with other nodes and closes their connections without notifying them,
    /// as if the VM had failed.
    pub fn kill(self) {
        self.exchange.abort();
        let _ = self.server.stop();
    }

    /// Serves until the process receives SIGTERM or SIGINT, then stops as planned. Further signals
    /// change nothing.
    pub async fn serve(self, mut signals: Signals) {
        signals.stop(&self.name).await;
        self.stop().await;
    }

    /// Stops as planned: notifies the balancer and the other nodes, continues to serve while they
    /// move, finishes the requests that are running, and closes its connections.
    pub async fn stop(self) {
        events::NODE_STOPPING.emit(&[("node", &self.name)]);
        if let Some(entry) = &self.entry {
            entry.coordinator.set_stopping();
        }
        let (done, left) = oneshot::channel();
        let _ = self.fleet.send(fleet::Message::Leave(done));
        let _ = left.await;
        let _ = self.timer.at(self.timer.now() + self.drain).await;
        if let Some(entry) = self.entry {
            let due = entry.coordinator.answers_due();
            entry.stopping.cancel();
            tokio::select! {
                _ = entry.task => {}
                _ = self.timer.at(due + LAST_ANSWERS_TIME) => {}
            }
            entry.home.drain().await;
        }
        if let Some(actor) = self.gate {
            let (done, finished) = oneshot::channel();
            let _ = actor.send(gate::Message::Stop(done));
            let _ = finished.await;
        }
        let _ = self.timer.at(self.timer.now() + SHUTDOWN_GRACE).await;
        let _ = self.server.stop();
        self.tracer.stop().await;
        events::NODE_STOPPED.emit(&[("node", &self.name)]);
    }
}

fn start_gate(config: &Config, shared: &Shared) -> mpsc::UnboundedSender<gate::Message> {
    gate::Actor::start(gate::Parts {
        name: config.name.clone(),
        settings: Settings::new(),
        placement: config.placement,
        timer: shared.timer.clone(),
        view: shared.view.clone(),
        connectivity: shared.connectivity.clone(),
        quarantine: shared.quarantine.clone(),
        metrics: shared.metrics.clone(),
        tracer: shared.tracer.clone(),
        fleet: shared.fleet.clone(),
    })
}

async fn start_entry(config: &Config, shared: &Shared) -> Result<(SocketAddr, Entry), Fault> {
    let coordinator = Arc::new(Coordinator::new(entry::Parts {
        name: config.name.clone(),
        placement: config.placement,
        data_centre: config.data_centre.clone(),
        boot: shared.boot,
        timer: shared.timer.clone(),
        view: shared.view.clone(),
        connectivity: shared.connectivity.clone(),
        quarantine: shared.quarantine.clone(),
        metrics: shared.metrics.clone(),
        tracer: shared.tracer.clone(),
    }));
    let home = Home::new(config.name.clone(), shared.boot, coordinator.clone());
    tokio::spawn(coordinator.clone().follow());
    let listen = config.http_listen;
    let callers = Registry::new();
    let acceptor = listen_context(CallerAcceptor::bind(listen, callers.clone()).await, listen)?;
    let address = acceptor.address();
    let stopping = CancellationToken::new();
    let signal = stopping.clone().cancelled_owned();
    let server = poem::Server::new_with_acceptor(acceptor);
    let routes = entry::routes(coordinator.clone(), home.clone(), callers);
    let task = tokio::spawn(server.run_with_graceful_shutdown(routes, signal, None));
    Ok((address, Entry { coordinator, home, stopping, task }))
}

async fn start_admin(
    listen: SocketAddr,
    config: &Config,
    shared: &Shared,
    gate: Option<mpsc::UnboundedSender<gate::Message>>,
) -> Result<SocketAddr, Fault> {
    let listener = listen_context(tokio::net::TcpListener::bind(listen).await, listen)?;
    let address = listen_context(listener.local_addr(), listen)?;
    let acceptor = listen_context(TcpAcceptor::from_tokio(listener), listen)?;
    let routes = admin::routes(admin::Parts {
        name: config.name.clone(),
        metrics: shared.metrics.clone(),
        view: shared.view.clone(),
        connectivity: shared.connectivity.clone(),
        gate,
    });
    tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(routes));
    Ok(address)
}

fn listen_context<T>(result: std::io::Result<T>, address: SocketAddr) -> Result<T, Fault> {
    result.with_whatever_context(|_| format!("cannot listen on {address}"))
}

fn merge<T>(methods: &mut RpcModule<()>, more: RpcModule<T>) -> Result<(), Fault> {
    methods.merge(more).whatever_context("two parts of the node serve the same method")
}

/// Returns the address to advertise to other nodes for one that this node listens on.
fn advertised(mut address: SocketAddr, config: &Config) -> SocketAddr {
    if let Some(ip) = config.advertise {
        address.set_ip(ip);
    }
    address
}

/// Returns a number that distinguishes this process instance from earlier ones.
fn boot() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_nanos() as u64
}
