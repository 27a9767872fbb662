//! A node with its servers and a caller, in one process on loopback.

mod caller;
mod server;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use http::HeaderName;
use mimosabridge::{
    balance,
    directory::{Entry, WRITE_INTERVAL},
    feed::{Fact, Position, Snapshot},
    name::Name,
    plan::{Gather, Limits, Repeat, Rule, Service, Spec, Target},
};
use mimosabridge_direct::{
    feed::{Source, SourceError},
    node::{self, Reload, Settings},
    wire::Headers,
};
use tokio::task::LocalSet;

pub use self::{
    caller::{Answer, ask, get, request},
    server::{Behavior, Server, Trace},
};

/// The ports of a node follow this one. They lie below the ephemeral ports of the system.
const BASE_PORT: u16 = 17_300;

/// How long a test may run.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

pub fn headers() -> Headers {
    Headers {
        request_id: HeaderName::from_static("x-id"),
        deadline: HeaderName::from_static("x-deadline"),
        expected_server: HeaderName::from_static("x-server"),
        server_id: HeaderName::from_static("x-server-id"),
        signature: HeaderName::from_static("x-signature"),
        part_signatures: HeaderName::from_static("x-signatures"),
        missing_shards: HeaderName::from_static("x-missing"),
        server_limit: HeaderName::from_static("x-limit"),
        not_run: HeaderName::from_static("x-refused"),
        server_leaving: HeaderName::from_static("x-leaving"),
    }
}

pub fn balance_settings() -> balance::Settings {
    balance::Settings {
        data_centre: Name::new("a"),
        extra_ratio: 0.2,
        extra_burst: 58.0,
        cold_factor: 1.5,
        cold_slack: 5.0,
        drain_time: Duration::from_secs(3),
        write_interval: WRITE_INTERVAL,
        assumed_nodes: 2,
    }
}

/// A running node.
pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    /// The snapshot that the store returns next.
    pub published: Rc<RefCell<Snapshot>>,
    /// The address on which this node receives packets of other nodes.
    pub peer: SocketAddr,
    /// The number of watches of the store that this node has started.
    pub watches: Rc<Cell<usize>>,
    /// What the store does with the reads of this node.
    pub access: Rc<Cell<Access>>,
}

/// What the store does with the reads of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access {
    Answered,
    TurnedAway,
    /// Connections are closed, also those of watches that wait.
    Cut,
}

impl Access {
    fn error(self) -> Option<SourceError> {
        match self {
            Access::Answered => None,
            Access::TurnedAway => Some(SourceError::Failed { reason: "turned away".to_owned() }),
            Access::Cut => Some(SourceError::Cut { reason: "cut".to_owned() }),
        }
    }
}

/// Runs a test on the current thread, with a timeout.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    runtime.block_on(LocalSet::new().run_until(async {
        tokio::time::timeout(TEST_TIMEOUT, test).await.expect("the test ends in time")
    }))
}

/// Waits until a condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

impl Node {
    /// Starts a node with servers: those of service `one` behind `/one/` (at most once),
    /// `/many/` (idempotent) and the shards `s0` to `s9` behind `/all/`.
    pub async fn start(servers: &[&Server]) -> Node {
        let entries = servers.iter().map(|it| Fact::Server(entry(it)));
        let snapshot = Snapshot { position: Position::new(0, 5), facts: facts(entries) };
        Node::start_with("node", Rc::new(RefCell::new(snapshot)), BTreeSet::new()).await
    }

    /// Starts a node that reads a store and contacts other nodes at some addresses.
    pub async fn start_with(
        name: &str,
        published: Rc<RefCell<Snapshot>>,
        seeds: BTreeSet<SocketAddr>,
    ) -> Node {
        let watches = Rc::new(Cell::new(0));
        let access = Rc::new(Cell::new(Access::Answered));
        let own = own_address();
        let [front, ready, peer, rpc, metrics] =
            [1, 2, 3, 4, 5].map(|it| SocketAddr::new(own, BASE_PORT + it));
        let settings = Settings {
            name: Name::new(name),
            data_centre: Name::new("a"),
            front,
            ready,
            metrics: Some(metrics),
            peer,
            rpc,
            seeds,
            grace: Duration::from_secs(6),
            balance: balance_settings(),
            headers: headers(),
            ready_path: "/ready",
            source: source(published.clone(), watches.clone(), access.clone()),
            reload: Box::new(|| Reload { grace: None, message: String::new() }),
        };
        tokio::task::spawn_local(async move {
            node::run(settings, 1).await.expect("the node starts");
        });
        let node = Node { front, ready, metrics, published, peer, watches, access };
        while get(node.ready, "/ready").await.is_none_or(|it| it.status != 200) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        node
    }
}

fn source(
    published: Rc<RefCell<Snapshot>>,
    watches: Rc<Cell<usize>>,
    access: Rc<Cell<Access>>,
) -> Source {
    let watched = published.clone();
    let listed = access.clone();
    Source {
        list: Box::new(move || {
            let snapshot = published.borrow().clone();
            let error = listed.get().error();
            Box::pin(async move { error.map_or(Ok(snapshot), Err) })
        }),
        watch: Box::new(move |after, wait, _| {
            let published = watched.clone();
            let access = access.clone();
            watches.set(watches.get() + 1);
            Box::pin(async move {
                let has_failed = || access.get() != Access::Answered;
                let is_over = || has_failed() || published.borrow().position > after;
                let result = tokio::time::timeout(wait, wait_until(is_over)).await;
                if let Some(error) = access.get().error() {
                    return Err(error);
                }
                match result {
                    Ok(()) => Ok(published.borrow().clone()),
                    Err(_) => Ok(Snapshot { position: after, facts: Vec::new() }),
                }
            })
        }),
    }
}

/// Returns a loopback address that no other node uses, in this process or a concurrent test run, so
/// that the ports of nodes never conflict.
fn own_address() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [_, _, by_process, _] = (std::process::id() << 8).to_be_bytes();
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    Ipv4Addr::new(127, by_process.max(1), high, low).into()
}

/// Returns the facts of a snapshot with servers.
pub fn facts(servers: impl Iterator<Item = Fact>) -> Vec<Fact> {
    [Fact::Plan(spec())].into_iter().chain(servers).collect()
}

pub fn entry(server: &Server) -> Entry {
    Entry {
        id: server.id.clone(),
        service: server.service.clone(),
        address: server.address,
        data_centre: Name::new("a"),
        slots: 6,
        is_draining: false,
        cold: Duration::ZERO,
        born: 1,
        sequence: None,
    }
}

fn spec() -> Spec {
    let shards: Vec<_> = (0..3).map(|it| Name::new(format!("s{it}"))).collect();
    let services = shards.iter().cloned().chain([Name::new("one")]);
    let service = |name| Service {
        name,
        health_path: Name::new("/health"),
        connections: 46,
        warm_up: Duration::from_secs(3),
        cold_rate: 0.0,
    };
    let rule = |name: &str, repeat, target| Rule {
        name: Name::new(name),
        host: Name::new("search.example"),
        prefix: Name::new(format!("/{name}/")),
        repeat,
        attempts: 2,
        timeout: Duration::from_secs(20),
        objective: Duration::from_secs(10),
        priority: 1,
        target,
    };
    let one = || Target::One(Name::new("one"));
    let all = Target::All(Gather { shards: shards.clone(), top: 2, least: 0.6 });
    Spec {
        version: 1,
        limits: Limits { body_bytes: 1_000, ..Limits::default() },
        rules: vec![
            rule("one", Repeat::Once, one()),
            rule("many", Repeat::Idempotent, one()),
            rule("all", Repeat::Idempotent, all),
        ],
        services: services.map(service).collect(),
    }
}
