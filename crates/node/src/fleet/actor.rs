use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use mimosabridge::{
    config::{Bundle, Chain, Head, History, Origin, Stamp, Step, Verdict},
    fingerprint::Fingerprint,
    member::{Action, Datagram, News, Peer, Record, State, Unknown},
    name::Name,
    place,
    quarantine::{Crash, Effect, Evidence, List},
    time::Time,
};
use rand::{SeedableRng, rngs::StdRng};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Client, ConfigReply, Connectivity, Member, Message, RosterReply, View, reader::Reader,
    seeds::Seeds,
};
use crate::{events, metrics::Metrics, platform, timer};

/// How often the timers of the exchange with other nodes are checked.
const TICK: Duration = Duration::from_millis(100);

/// How long a configuration that was read waits for a rival before it comes into force.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// How long a starting node waits for its peers before it relies on the platform alone.
const BOOT_WAIT: Duration = Duration::from_secs(5);

/// After a pause of the process of this length, its state is out of date.
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// The number of nodes in each data centre that read the platform.
const READERS: usize = 2;

/// How long a backend server that was reported as leaving is excluded.
const LEAVING_TTL: Duration = Duration::from_secs(20);

/// The minimum time between two announcements that the same server is leaving.
const LEAVING_PERIOD: Duration = Duration::from_secs(5);

/// The size limit of a datagram.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// The dependencies of the actor of the fleet.
pub struct Parts {
    /// The record of this node.
    pub own: Record,
    /// The socket that takes packets.
    pub socket: UdpSocket,
    /// Addresses at which to discover other nodes.
    pub seeds: BTreeSet<SocketAddr>,
    /// The platform.
    pub platform: platform::Client,
    /// The timers.
    pub timer: timer::Service,
    /// Publishes each view of the fleet.
    pub views: watch::Sender<Arc<View>>,
    /// The connectivity of this node to the rest of the system.
    pub connectivity: Connectivity,
    /// The quarantine list of contents that crash backend servers.
    pub quarantine: Arc<Mutex<List>>,
    /// The metrics of this node.
    pub metrics: Metrics,
}

/// Maintains the view of the fleet: exchanges packets with the other nodes, follows the
/// configuration and notifies the parts of the node.
pub struct Actor {
    timer: timer::Service,
    socket: UdpSocket,
    seeds: Seeds,
    peer: Peer,
    chain: Chain,
    history: History,
    rng: StdRng,
    reader: Reader,
    platform: platform::Client,
    views: watch::Sender<Arc<View>>,
    connectivity: Connectivity,
    quarantine: Arc<Mutex<List>>,
    metrics: Metrics,
    outbox: mpsc::UnboundedSender<Message>,
    inbox: mpsc::UnboundedReceiver<Message>,
    fetching: HashMap<Stamp, Origin>,
    leaving: BTreeMap<Name, Announcement>,
    conflicts: BTreeSet<Stamp>,
    /// Whether the roster has changed since the last view.
    is_changed: bool,
    unknown: Unknown,
    started: Time,
}

/// The latest announcement that a backend server is leaving.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    round: u32,
    at: Time,
}

impl Actor {
    /// Starts the actor in its own task. Returns the sender of its messages, and the task.
    pub fn start(parts: Parts) -> (mpsc::UnboundedSender<Message>, JoinHandle<()>) {
        let (outbox, inbox) = mpsc::unbounded_channel();
        let now = parts.timer.now();
        let boot = parts.own.incarnation.boot;
        let port = parts.own.peer.port();
        let actor = Actor {
            seeds: Seeds::new(parts.seeds, port),
            peer: Peer::new(parts.own, Default::default(), now),
            chain: Chain::new(SETTLE_TIME),
            history: History::new(),
            rng: StdRng::seed_from_u64(boot),
            reader: Reader::new(parts.platform.clone(), outbox.clone()),
            platform: parts.platform,
            timer: parts.timer,
            socket: parts.socket,
            views: parts.views,
            connectivity: parts.connectivity,
            quarantine: parts.quarantine,
            metrics: parts.metrics,
            outbox: outbox.clone(),
            inbox,
            fetching: HashMap::new(),
            leaving: BTreeMap::new(),
            conflicts: BTreeSet::new(),
            is_changed: false,
            unknown: Unknown::new(),
            started: now,
        };
        (outbox, tokio::spawn(actor.run()))
    }

    async fn run(mut self) {
        let mut ticks = self.timer.every(TICK);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        self.peer.set_seeds(self.seeds.all());
        self.on_changed();
        loop {
            tokio::select! {
                Ok((length, _)) = self.socket.recv_from(&mut buffer) => {
                    self.on_datagram(&buffer[..length]);
                }
                message = self.inbox.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                Some(tick) = ticks.recv() => self.on_tick(tick),
            }
        }
    }

    fn on_datagram(&mut self, bytes: &[u8]) {
        self.metrics.bytes_received.inc_by(bytes.len() as u64);
        let Some(datagram) = Datagram::decode(bytes) else { return };
        let now = self.timer.now();
        self.connectivity.record_contact(now);
        self.on_unknown(&datagram, now);
        let actions = self.peer.on_datagram(datagram, now, &mut self.rng);
        self.act(actions);
    }

    fn on_unknown(&mut self, datagram: &Datagram, now: Time) {
        self.metrics.unknown.inc_by(datagram.unknown.into());
        let Some(count) = self.unknown.add(datagram.unknown, now) else { return };
        events::UNKNOWN.emit(&[("sender", &datagram.sender.name), ("count", &count)]);
    }

    fn on_tick(&mut self, tick: timer::Tick) {
        let now = tick.now;
        if tick.late >= PAUSE_LIMIT {
            events::NODE_PAUSED.emit(&[("millis", &tick.late.as_millis())]);
            self.peer.on_pause(now);
        }
        let reserve = self.quarantine().news_bytes();
        self.peer.set_reserve(reserve);
        let actions = self.peer.tick(now, &mut self.rng);
        self.act(actions);
        if self.may_accept(now)
            && let Some(bundle) = self.chain.tick(now)
        {
            self.on_accepted(bundle);
        }
        self.expire_leaving(now);
        if self.is_changed {
            self.on_changed();
        }
        self.connectivity.set_isolated(self.peer.is_isolated(now));
    }

    /// Returns whether a configuration from the platform may come into force: one is in force
    /// already, a packet of a peer has arrived, or the wait for peers is over.
    fn may_accept(&self, now: Time) -> bool {
        self.chain.in_force().is_some()
            || self.peer.last_received().is_some()
            || now.since(self.started) >= BOOT_WAIT
    }

    fn on_message(&mut self, message: Message) {
        let now = self.timer.now();
        match message {
            Message::Roster(digests, reply) => {
                let roster = self.peer.roster();
                let records = roster.differing(&digests);
                let _ = reply.send(RosterReply { digests: roster.digests(), records });
            }
            Message::RosterReceived(records) => {
                let actions = self.peer.on_roster(records, now);
                self.act(actions);
            }
            Message::Config(wanted, held, reply) => {
                let _ = reply.send(self.config_reply(wanted, held));
            }
            Message::ConfigFetched(stamp, origin, bundle) => {
                self.fetching.remove(&stamp);
                if let Some(bundle) = bundle {
                    self.on_bundle(Arc::new(*bundle), origin);
                }
            }
            Message::Published(head) => {
                self.on_platform_read(now);
                self.on_published(head);
            }
            Message::PlatformAnswered => self.on_platform_read(now),
            Message::Vms(live, leaving) => self.on_vms(&live, &leaving),
            Message::ServerLeaving(server) => self.on_server_leaving(server),
            Message::ServerCrashed(fingerprint, crash) => {
                if self.on_crash(fingerprint, crash) != Effect::Known {
                    self.push_crashes(fingerprint);
                }
            }
            Message::Leave(done) => self.on_leave(done),
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        let mut changed = false;
        for action in actions {
            match action {
                Action::Send(address, mut packet) => {
                    if packet.is_probe() {
                        packet.fill(self.quarantine().next_news(self.timer.now()).into_iter());
                    }
                    let bytes = packet.encode();
                    self.metrics.packets_sent.inc();
                    self.metrics.bytes_sent.inc_by(bytes.len() as u64);
                    // The next round compensates for a lost datagram.
                    let _ = self.socket.try_send_to(&bytes, address);
                }
                Action::Changed => changed = true,
                Action::Deliver(news, from) => self.on_news(news, from),
                Action::Sync(address) => self.sync(address),
                // Nodes with gates do not follow the facts of direct nodes.
                Action::Progress(..) => {}
            }
        }
        self.is_changed |= changed;
    }

    /// Publishes the view and determines whether this node reads the platform. Changes of the
    /// roster are batched until the next tick, since many may arrive at once.
    fn on_changed(&mut self) {
        self.is_changed = false;
        let own = self.peer.own().clone();
        let records: Vec<_> = self.peer.roster().records().cloned().collect();
        let local = records
            .iter()
            .filter(|it| it.data_centre == own.data_centre && it.takes_work())
            .map(|it| &it.name);
        let key = xxh3_64(own.data_centre.as_str().as_bytes());
        let is_reader = place::rank(key, local, READERS).contains(&own.name);
        self.reader.set_active(is_reader);
        let member = |it: &Record| {
            let member = Member { data_centre: it.data_centre.clone(), address: it.rpc };
            (it.name.clone(), member)
        };
        for state in [State::Alive, State::Suspect, State::Leaving, State::Dead] {
            let count = records.iter().filter(|it| it.state == state).count();
            let label = format!("{state:?}").to_lowercase();
            self.metrics.nodes.with_label_values(&[label]).set(count as i64);
        }
        let config = self.chain.in_force().cloned();
        let gates = records.iter().filter(|it| it.roles.gate && it.takes_work()).map(member);
        let nodes = records.iter().filter(|it| it.state != State::Dead).map(member);
        self.views.send_modify(|view| {
            let is_same =
                view.config.as_ref().map(|it| it.stamp) == config.as_ref().map(|it| it.stamp);
            let set = match &config {
                Some(bundle) if !is_same => Arc::new(bundle.set.clone()),
                _ => view.set.clone(),
            };
            *view = Arc::new(View {
                config,
                set,
                gates: gates.collect(),
                nodes: nodes.collect(),
                leaving: self.leaving.keys().cloned().collect(),
            });
        });
    }

    fn sync(&self, address: SocketAddr) {
        let own = self.peer.roster().clone();
        let outbox = self.outbox.clone();
        tokio::spawn(async move {
            if let Ok(records) = Client::new(address).roster(&own).await {
                let _ = outbox.send(Message::RosterReceived(records));
            }
        });
    }

    fn on_news(&mut self, news: News, from: SocketAddr) {
        match news {
            // The gate of a server sees all of its requests and needs no reports from other nodes.
            News::Restriction { .. }
            | News::Member(_)
            | News::State(_)
            | News::Seen(_)
            | News::Unlimited(_) => {}
            News::Config { stamp, in_force } => self.on_stamp(stamp, in_force, from),
            News::Leaving { server, round } => self.on_leaving(server, round),
            News::Evidence { fingerprint, evidence } => {
                let effect = match evidence {
                    Evidence::Crash(crash) => self.on_crash(fingerprint, crash),
                    it => self.quarantine().receive(fingerprint, it, self.timer.now()),
                };
                // Only the news that decides is passed on at once: one fault makes many suspects.
                if effect == Effect::Quarantined {
                    self.push_crashes(fingerprint);
                }
            }
        }
    }

    fn on_stamp(&mut self, stamp: Stamp, in_force: bool, from: SocketAddr) {
        let origin = if in_force { Origin::InForce } else { Origin::Published };
        if in_force && self.chain.conflicts_with(stamp) && self.conflicts.insert(stamp) {
            let current = self.chain.stamp().unwrap_or(stamp);
            events::CONFIG_CONFLICT.emit(&[("standing", &current), ("rival", &stamp)]);
        }
        if in_force && let Some(bundle) = self.chain.promote(stamp) {
            self.on_accepted(bundle);
            return;
        }
        if !self.chain.should_fetch(stamp, origin) || self.fetching.contains_key(&stamp) {
            return;
        }
        self.fetching.insert(stamp, origin);
        let held = self.chain.in_force().cloned();
        let outbox = self.outbox.clone();
        tokio::spawn(async move {
            let bundle = Client::new(from).config(stamp, held).await.ok().flatten();
            let _ = outbox.send(Message::ConfigFetched(stamp, origin, bundle.map(Box::new)));
        });
    }

    fn on_platform_read(&mut self, now: Time) {
        self.peer.on_platform_read(now);
        self.connectivity.record_contact(now);
    }

    fn on_published(&mut self, head: Head) {
        let stamp = head.stamp;
        if !self.chain.should_fetch(stamp, Origin::Published) || self.fetching.contains_key(&stamp)
        {
            return;
        }
        self.fetching.insert(stamp, Origin::Published);
        let held = self.chain.in_force().cloned();
        let platform = self.platform.clone();
        let outbox = self.outbox.clone();
        tokio::spawn(async move {
            let bundle = match platform.bundle(head, held.as_deref()).await {
                Ok(bundle) => Some(Box::new(bundle)),
                Err(error) => {
                    events::PLATFORM_UNREACHABLE.emit(&[("reason", &error)]);
                    None
                }
            };
            let _ = outbox.send(Message::ConfigFetched(stamp, Origin::Published, bundle));
        });
    }

    fn on_bundle(&mut self, bundle: Arc<Bundle>, origin: Origin) {
        let stamp = bundle.stamp;
        match self.chain.offer(bundle, origin, self.timer.now()) {
            Verdict::Accepted(bundle) => self.on_accepted(bundle),
            Verdict::Waiting => self.announce(News::Config { stamp, in_force: false }),
            Verdict::Known | Verdict::Stale => {}
            Verdict::Conflict { current } => {
                self.metrics.config_refused.inc();
                events::CONFIG_CONFLICT.emit(&[("standing", &current), ("rival", &stamp)]);
            }
            Verdict::Invalid(findings) => {
                self.metrics.config_refused.inc();
                for finding in &findings {
                    events::CONFIG_INVALID.emit(&[("config", &stamp), ("finding", finding)]);
                }
            }
        }
    }

    fn on_accepted(&mut self, bundle: Arc<Bundle>) {
        events::CONFIG_ACCEPTED.emit(&[("config", &bundle.stamp)]);
        if let Some(old) = &self.views.borrow().config {
            self.history.push(old, &bundle);
        }
        self.metrics.config_version.set(bundle.stamp.version as i64);
        self.peer.set_config(bundle.stamp);
        self.on_changed();
        self.announce(News::Config { stamp: bundle.stamp, in_force: true });
    }

    fn config_reply(&self, wanted: Stamp, held: Option<Stamp>) -> ConfigReply {
        let in_force = self.chain.in_force();
        let candidate = self.chain.candidate();
        let found = in_force.into_iter().chain(candidate).find(|it| it.stamp == wanted);
        let Some(found) = found else { return ConfigReply::Unknown };
        let steps = held.and_then(|held| self.steps(held, found));
        match steps {
            Some(steps) => ConfigReply::Steps(steps),
            None => ConfigReply::Whole(Box::new((**found).clone())),
        }
    }

    /// Returns the steps from the configuration `held`, in force on this node now or earlier, to
    /// `wanted`.
    fn steps(&self, held: Stamp, wanted: &Bundle) -> Option<Vec<Step>> {
        let in_force = self.chain.in_force()?;
        let mut steps =
            if held == in_force.stamp { Vec::new() } else { self.history.since(held)? };
        if wanted.stamp != in_force.stamp {
            steps.push(Step::between(in_force, wanted));
        }
        Some(steps)
    }

    fn on_vms(&mut self, live: &[IpAddr], leaving: &[IpAddr]) {
        self.on_platform_read(self.timer.now());
        self.seeds.set_listed(live);
        self.peer.set_seeds(self.seeds.all());
        let Some(bundle) = self.chain.in_force().cloned() else { return };
        let leaving: Vec<_> = bundle
            .set
            .servers
            .values()
            .filter(|it| leaving.contains(&it.address.ip()))
            .map(|it| it.name.clone())
            .collect();
        for server in leaving {
            self.on_server_leaving(server);
        }
    }

    fn on_server_leaving(&mut self, server: Name) {
        let now = self.timer.now();
        let known = self.leaving.get(&server);
        if known.is_some_and(|it| now.since(it.at) < LEAVING_PERIOD) {
            return;
        }
        let round = known.map_or(1, |it| it.round + 1);
        self.on_leaving(server, round);
    }

    fn on_leaving(&mut self, server: Name, round: u32) {
        let known = self.leaving.get(&server).copied();
        if known.is_some_and(|it| it.round >= round) {
            return;
        }
        self.leaving.insert(server.clone(), Announcement { round, at: self.timer.now() });
        if known.is_none() {
            events::SERVER_LEAVING.emit(&[("server", &server)]);
            self.on_changed();
        }
        self.announce(News::Leaving { server, round });
    }

    fn expire_leaving(&mut self, now: Time) {
        let before = self.leaving.len();
        self.leaving.retain(|_, it| now.since(it.at) < LEAVING_TTL);
        if self.leaving.len() != before {
            self.on_changed();
        }
    }

    fn on_crash(&mut self, fingerprint: Fingerprint, crash: Crash) -> Effect {
        let now = self.timer.now();
        let server = crash.server.clone();
        let effect = self.quarantine().record_crash(fingerprint, crash, now);
        if effect != Effect::Known {
            events::SERVER_CRASHED.emit(&[("server", &server), ("content", &fingerprint)]);
        }
        effect
    }

    fn push_crashes(&mut self, fingerprint: Fingerprint) {
        let news = self.quarantine().news(fingerprint, self.timer.now());
        let actions = self.peer.push_now(news, &mut self.rng);
        self.act(actions);
    }

    fn quarantine(&self) -> MutexGuard<'_, List> {
        self.quarantine.lock().expect("no holder of the lock panics")
    }

    fn on_leave(&mut self, done: oneshot::Sender<()>) {
        let now = self.timer.now();
        let actions = self.peer.leave(now, &mut self.rng);
        self.act(actions);
        let _ = done.send(());
    }

    fn announce(&mut self, news: News) {
        let actions = self.peer.announce(news, &mut self.rng);
        self.act(actions);
    }
}
