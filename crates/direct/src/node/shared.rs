use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use mimosabridge::{
    balance::{self, Balancer},
    directory::Change,
    feed::{Event, Mirror, Position},
    fingerprint::Fingerprint,
    member::Unknown,
    name::Name,
    plan::Plan,
    quarantine::{Detector, List, Sign},
    reach::{Latencies, Reach, Status},
    stop::{Load, Stop},
    time::Time,
};
use mimosabridge_node::clock::Clock;
use tokio::sync::{Notify, watch};

use crate::{
    backend::{Memory, Pool},
    events,
    metrics::Metrics,
    wire::Headers,
};

/// A pause of the process of this length makes its state outdated.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// How long the end of a planned stop may wait for answers that are due.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(50);

/// How often the end of a planned stop checks for them.
const LAST_ANSWERS_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The state that the parts of a node share. They all run on one thread.
pub struct Shared {
    /// The clock of the node.
    pub clock: Clock,
    /// The names of headers.
    pub headers: Headers,
    /// The idle connections to servers.
    pub pool: Pool,
    /// The idle connections to other nodes, for requests that they serve in the place of this one.
    pub relay_pool: Pool,
    /// What the node knows of the fleet, and its requests in progress.
    pub state: RefCell<State>,
    /// The metrics of the node.
    pub metrics: Metrics,
    /// Whether callers should be sent to this node.
    pub is_ready: Arc<AtomicBool>,
    /// Notified when the process resumes after a pause.
    pub resumed: Notify,
    /// Notified when other nodes must learn of a content at once.
    pub urgent_news: Notify,
    /// When the final answers to all requests are due, once a planned stop has begun.
    answers_due: watch::Sender<Option<Time>>,
    /// Whether the process ends, whatever is under way.
    is_ended: Cell<bool>,
    /// Whether lost attempts are being weighed as they are due.
    pub(super) is_weighing: Cell<bool>,
}

/// What a node knows of the fleet, and its requests in progress.
pub struct State {
    /// The servers, and the distribution of requests over them.
    pub balancer: Balancer,
    /// The local mirror of the published facts.
    pub mirror: Mirror,
    /// Whether this node reaches the servers.
    pub reach: Reach,
    /// How long requests take that other nodes serve.
    pub relayed: Latencies,
    /// The contents that crash servers.
    pub quarantine: List,
    /// The lost attempts that are not yet known to be crashes or not.
    pub crash_detector: Detector,
    /// The contents whose crashes other nodes must learn at once.
    pub unpushed_contents: BTreeSet<Fingerprint>,
    /// The planned stop, once it has begun.
    pub stop: Option<Stop>,
    /// The requests in progress and the open connections of those who send them.
    pub load: Load,
    /// The count of what was passed over in messages of other nodes, for the log.
    pub unknown: Unknown,
}

impl State {
    /// Returns whether an attempt that was sent at `sent` repeats a lost one with the same content.
    pub fn is_repeat(&self, fingerprint: Fingerprint, sent: Time, now: Time) -> bool {
        self.crash_detector.is_repeat(fingerprint, sent)
            || self.quarantine.is_repeat(fingerprint, sent, now)
    }
}

impl Shared {
    /// Creates the state of a node without a configuration or servers.
    pub fn new(headers: Headers, settings: balance::Settings, seed: u64) -> Shared {
        let clock = Clock::new();
        let memory = Memory::new();
        Shared {
            clock,
            headers,
            pool: Pool::new().with_memory(memory.clone()),
            relay_pool: Pool::new().with_memory(memory),
            state: RefCell::new(State {
                balancer: Balancer::new(settings, seed),
                mirror: Mirror::new(),
                reach: Reach::new(clock.now()),
                relayed: Latencies::new(),
                quarantine: List::new(),
                crash_detector: Detector::new(),
                unpushed_contents: BTreeSet::new(),
                stop: None,
                load: Load::default(),
                unknown: Unknown::new(),
            }),
            metrics: Metrics::new(),
            is_ready: Arc::new(AtomicBool::new(false)),
            resumed: Notify::new(),
            urgent_news: Notify::new(),
            answers_due: watch::Sender::new(None),
            is_ended: Cell::new(false),
            is_weighing: Cell::new(false),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the configuration in force.
    pub fn plan(&self) -> Option<Arc<Plan>> {
        self.state.borrow().mirror.plan().cloned()
    }

    /// Begins a planned stop as of `began`. The process is killed `grace` later. Returns when it ends at
    /// the latest.
    pub fn begin_stop(&self, grace: Duration, began: Time) -> Time {
        let stop = Stop::new(grace, began);
        self.state.borrow_mut().stop = Some(stop);
        self.answers_due.send_replace(Some(stop.answers_due()));
        self.refresh_ready();
        stop.end()
    }

    /// Lets requests whose final answers are due write them, if the process got no processor time before.
    pub async fn write_last_answers(&self) {
        let until = self.now() + LAST_ANSWERS_TIMEOUT;
        loop {
            // Connections read what has arrived meanwhile, which counts as requests then.
            tokio::time::sleep(LAST_ANSWERS_POLL_INTERVAL).await;
            if self.state.borrow().load.requests == 0 || self.now() >= until {
                return;
            }
        }
    }

    /// Ends the node: what is still under way is dropped.
    pub fn end(&self) {
        self.is_ended.set(true);
    }

    /// Returns whether the node has ended.
    pub fn is_ended(&self) -> bool {
        self.is_ended.get()
    }

    /// Waits until the final answers to all requests are due, in a planned stop.
    pub async fn answers_due(&self) {
        let mut due = self.answers_due.subscribe();
        let due = due.wait_for(Option::is_some).await.ok().and_then(|it| *it);
        match due {
            Some(due) => tokio::time::sleep_until(self.clock.instant(due)).await,
            // The sender lives as long as the node.
            None => std::future::pending().await,
        }
    }

    /// Counts what this node doesn't know and has passed over in a message of another node.
    pub fn on_unknown(&self, sender: &dyn std::fmt::Display, message: &str, count: u32) {
        self.metrics.unknown.with_label_values(&[message]).inc_by(count.into());
        let due = self.state.borrow_mut().unknown.add(count, self.now());
        let Some(count) = due else { return };
        events::UNKNOWN.emit(&[("sender", sender), ("message", &message), ("count", &count)]);
    }

    /// Updates whether callers should be sent to this node.
    pub fn refresh_ready(&self) {
        let state = self.state.borrow();
        let is_configured = state.mirror.plan().is_some() && !state.balancer.directory().is_empty();
        let is_stranded = state.reach.status(self.now()) == Status::Stranded;
        let is_ready = is_configured && state.stop.is_none() && !is_stranded;
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Updates the mirror and the servers, as of now. Returns the changes, for
    /// [`Shared::on_changes`].
    pub fn update_mirror(
        &self,
        update: impl FnOnce(&mut Mirror, &mut Balancer, Time) -> Vec<Event>,
    ) -> Vec<Event> {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        update(&mut state.mirror, &mut state.balancer, now)
    }

    /// Drops what is known of rules and services that the configuration in force no longer has.
    fn drop_old_rules(&self) {
        let Some(plan) = self.plan() else { return };
        let rules: HashSet<_> = plan.rules().map(Name::as_str).collect();
        let state = &mut *self.state.borrow_mut();
        state.balancer.on_plan(&plan, self.now());
        state.relayed.retain(|it| rules.contains(it.as_str()));
        let has_service = |it: &str| plan.service(&Name::new(it)).is_some();
        self.metrics.retain(|it| rules.contains(it), has_service);
    }

    /// Logs changes of the mirror with their source, and updates the metrics and the readiness.
    pub fn on_changes(&self, changes: &[Event], source: &str) {
        if changes.is_empty() {
            return;
        }
        let Position { era, revision } = self.state.borrow().mirror.position();
        for item in changes {
            let common: [(&str, &dyn std::fmt::Display); 3] =
                [("source", &source), ("era", &era), ("revision", &revision)];
            let emit = |event: &mimosabridge_cli::Event, name, value: &dyn std::fmt::Display| {
                event.emit(&[common[0], common[1], common[2], (name, value)]);
            };
            match item {
                Event::Plan(version) => {
                    self.metrics.plan_version.set(*version as i64);
                    self.drop_old_rules();
                    emit(&events::PLAN, "version", version);
                }
                Event::Server(change) => {
                    if let Change::Removed(id) | Change::Restarted(id) = change {
                        self.on_sign(id, Sign::Replaced);
                    }
                    let change = format!("{change:?}");
                    emit(&events::SERVER, "change", &change);
                }
                Event::Closed(closed) => {
                    let closed: Vec<_> = closed.iter().map(|it| it.as_str()).collect();
                    let closed = closed.join(",");
                    emit(&events::CLOSED, "data_centres", &closed);
                }
                Event::Restored(began) => {
                    self.metrics.store_era.set(*began as i64);
                    emit(&events::RESTORED, "began", began);
                }
                Event::RestrictionKept(kept) => {
                    emit(&events::RESTRICTION, "begun", &format_args!("{kept:?}"))
                }
                Event::RestrictionEnded(ended) => {
                    emit(&events::RESTRICTION, "ended", &format_args!("{ended:?}"))
                }
                Event::Ignored(position) => {
                    emit(&events::IGNORED, "position", &format_args!("{position:?}"));
                }
            }
        }
        let servers = self.state.borrow().balancer.directory().len();
        self.metrics.servers.set(servers as i64);
        self.refresh_ready();
    }
}
