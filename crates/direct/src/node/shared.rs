use std::{
    cell::RefCell,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use mimosabridge::{
    balance::{self, Balancer},
    feed::{Event, Mirror},
    plan::Plan,
    quarantine::{CrashDetector, List},
    stop::Stop,
    time::Time,
};
use mimosabridge_node::clock::Clock;
use tokio::sync::Notify;

use crate::{backend::Pool, events, metrics::Metrics, wire::Headers};

/// A sleep of the process of this length leaves its beliefs old.
pub const PAUSE: Duration = Duration::from_secs(1);

/// What the parts of a node share. They all run on one thread.
pub struct Shared {
    /// The clock.
    pub clock: Clock,
    /// What headers are called.
    pub headers: Headers,
    /// Connections to servers.
    pub pool: Pool,
    /// What the node believes.
    pub beliefs: RefCell<Beliefs>,
    /// The metrics.
    pub metrics: Metrics,
    /// Whether callers should be sent to this node.
    pub is_ready: Arc<AtomicBool>,
    /// Told when the process has slept.
    pub woken: Notify,
}

/// What a node believes.
pub struct Beliefs {
    /// The servers.
    pub balancer: Balancer,
    /// What is published.
    pub mirror: Mirror,
    /// Contents that crash servers.
    pub quarantine: List,
    /// Broken attempts, until they are known to be crashes or not.
    pub crash_detector: CrashDetector,
    /// The planned stop, once it has begun.
    pub stop: Option<Stop>,
    /// Requests under way.
    pub running: usize,
}

impl Shared {
    /// Creates the state of a node that knows nothing yet.
    pub fn new(headers: Headers, settings: balance::Settings, seed: u64) -> Shared {
        Shared {
            clock: Clock::new(),
            headers,
            pool: Pool::new(),
            beliefs: RefCell::new(Beliefs {
                balancer: Balancer::new(settings, seed),
                mirror: Mirror::new(),
                quarantine: List::new(),
                crash_detector: CrashDetector::new(),
                stop: None,
                running: 0,
            }),
            metrics: Metrics::new(),
            is_ready: Arc::new(AtomicBool::new(false)),
            woken: Notify::new(),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the configuration in force.
    pub fn plan(&self) -> Option<Arc<Plan>> {
        self.beliefs.borrow().mirror.plan().cloned()
    }

    /// Works out whether callers should be sent to this node.
    pub fn refresh_ready(&self) {
        let beliefs = self.beliefs.borrow();
        let knows = beliefs.mirror.plan().is_some() && !beliefs.balancer.directory().is_empty();
        self.is_ready.store(knows && beliefs.stop.is_none(), Ordering::Relaxed);
    }

    /// Logs what changed, and its source.
    pub fn on_news(&self, news: &[Event], source: &str) {
        if news.is_empty() {
            return;
        }
        let revision = self.beliefs.borrow().mirror.revision();
        for item in news {
            let common: [(&str, &dyn std::fmt::Display); 2] =
                [("source", &source), ("revision", &revision)];
            match item {
                Event::Plan(version) => {
                    self.metrics.plan_version.set(*version as i64);
                    events::PLAN.emit(&[common[0], common[1], ("version", version)]);
                }
                Event::Server(change) => {
                    let change = format!("{change:?}");
                    events::SERVER.emit(&[common[0], common[1], ("change", &change)]);
                }
                Event::Closed(closed) => {
                    let closed: Vec<_> = closed.iter().map(|it| it.as_str()).collect();
                    let closed = closed.join(",");
                    events::CLOSED.emit(&[common[0], common[1], ("data_centres", &closed)]);
                }
            }
        }
        let servers = self.beliefs.borrow().balancer.directory().len();
        self.metrics.servers.set(servers as i64);
        self.refresh_ready();
    }
}
