use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use mimosabridge::{
    feed::{self, Lag, Progress, Scout, Selector, Upstream},
    member::{Action, Datagram, Peer, Record, SizeEstimator, State},
    name::Name,
    time::Time,
};
use mimosabridge_node::{rpc, timer};
use rand::{SeedableRng, rngs::StdRng, seq::IteratorRandom};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{Notify, mpsc, oneshot},
};

use super::{
    packed::pack,
    rpc::{PendingQuestion, PublishedServer, Question, Reply, Server, UptimeAge},
    waitlist::Waitlist,
};
use crate::{
    events,
    node::{PAUSE_THRESHOLD, Shared},
};

/// How often the timers of the exchange are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(150);

/// How long a packed update is sent to further peers. Lapsed entries may change without progress.
const PACKED_TTL: Duration = Duration::from_millis(300);

/// The largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// The number of questions of other nodes that may be queued.
const MAX_QUEUED_QUESTIONS: usize = 64;

/// The communication of this node with the others. Clones are handles to the same exchange.
#[derive(Clone)]
pub struct Exchange {
    pub(super) inner: Rc<Inner>,
}

/// The state that the handles to an exchange share.
pub(super) struct Inner {
    pub(super) shared: Rc<Shared>,
    pub(super) socket: UdpSocket,
    pub(super) peer: RefCell<Peer>,
    pub(super) rng: RefCell<StdRng>,
    pub(super) contact: Cell<Time>,
    pub(super) lag: RefCell<Lag>,
    pub(super) selector: RefCell<Selector>,
    pub(super) scout: RefCell<Scout>,
    pub(super) peer_ahead: Notify,
    /// Where the node takes calls that was last heard of being ahead of this one.
    pub(super) ahead: Cell<Option<SocketAddr>>,
    /// Whether this node follows a reader.
    pub(super) is_follower: Cell<bool>,
    pub(super) waiting: RefCell<Waitlist>,
    packed: RefCell<Option<Packed>>,
    pub(super) next_report: Cell<Time>,
    pub(super) size_estimator: SizeEstimator,
}

/// The update that was packed last.
struct Packed {
    /// The progress of the peer that it was for.
    known: Progress,
    /// The progress of this node at that time.
    progress: Progress,
    /// When it was packed.
    at: Time,
    /// The packed update, or `None` if it is short.
    text: Option<String>,
}

/// Starts the exchange and returns a handle to it.
pub fn start(
    shared: Rc<Shared>,
    timer: &timer::Service,
    own: Record,
    socket: UdpSocket,
    listener: TcpListener,
    seeds: BTreeSet<SocketAddr>,
) -> Exchange {
    let now = shared.now();
    let boot = own.incarnation.boot;
    let mut peer = Peer::new(own, Default::default(), now);
    peer.set_seeds(seeds);
    let inner = Rc::new(Inner {
        shared,
        socket,
        peer: RefCell::new(peer),
        rng: RefCell::new(StdRng::seed_from_u64(boot)),
        contact: Cell::new(now),
        lag: RefCell::new(Lag::new()),
        selector: RefCell::new(Selector::new()),
        scout: RefCell::new(Scout::new(now)),
        peer_ahead: Notify::new(),
        ahead: Cell::new(None),
        is_follower: Cell::new(false),
        waiting: RefCell::new(Waitlist::new()),
        packed: RefCell::new(None),
        next_report: Cell::new(now),
        size_estimator: SizeEstimator::new(now),
    });
    let (questions, inbox) = mpsc::channel(MAX_QUEUED_QUESTIONS);
    tokio::task::spawn_local(serve(
        inner.clone(),
        timer.every(TICK_INTERVAL),
        inbox,
        listener,
        questions,
    ));
    Exchange { inner }
}

impl Exchange {
    /// Records that the store answered this node, or a peer of it, `age` ago.
    pub fn on_contact(&self, age: Duration) {
        let contact = self.inner.shared.now().before(age);
        self.inner.contact.set(self.inner.contact.get().max(contact));
    }

    /// Returns the upstream from which this node receives the published facts.
    pub fn upstream(&self) -> Upstream {
        let peer = self.inner.peer.borrow();
        let now = self.inner.shared.now();
        let upstream = self.inner.selector.borrow_mut().upstream(peer.roster(), peer.own(), now);
        self.inner.is_follower.set(matches!(upstream, Upstream::Peer(_)));
        upstream
    }

    /// Records that the reader that this node follows answered, and whether the store is
    /// unavailable to it.
    pub fn on_upstream_answer(&self, is_away: bool) {
        self.inner.selector.borrow_mut().on_answer(is_away, self.inner.shared.now());
    }

    /// Records that a reader that this node follows did not answer.
    pub fn on_upstream_failure(&self, reader: &Name) {
        self.inner.selector.borrow_mut().on_failure(reader, self.inner.shared.now());
    }

    /// Returns whether it is this node's turn to watch the store beside the readers.
    pub fn is_scout_due(&self) -> bool {
        let peer = self.inner.peer.borrow();
        let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = self.inner.shared.now();
        self.inner.scout.borrow_mut().is_due(peer.roster(), peer.own(), time_of_day, now)
    }

    /// Publishes the current progress to peers and answers questions that wait for it. To be called
    /// after the mirror may have changed.
    pub fn on_updated(&self) {
        self.inner.peer.borrow_mut().set_progress(self.inner.progress());
        self.inner.answer_waiting();
    }

    /// Announces to the first nodes of each data centre that this node knows urgent changes.
    pub fn announce_progress(&self) {
        self.on_updated();
        let actions = self.inner.peer.borrow_mut().announce_progress(self.inner.shared.now());
        self.inner.act(actions);
    }

    /// Returns the RPC address of the node that was last heard of being ahead of this one, or of a
    /// random live node if that one was asked already.
    pub fn peer_to_ask(&self) -> Option<SocketAddr> {
        if let Some(ahead) = self.inner.ahead.take() {
            return Some(ahead);
        }
        let peer = self.inner.peer.borrow();
        let own = &peer.own().name;
        let others = peer.roster().records();
        let others = others.filter(|it| it.state == State::Alive && it.name != *own);
        others.map(|it| it.rpc).choose(&mut *self.inner.rng.borrow_mut())
    }

    /// Returns the RPC addresses of nodes that can tell whether the store was available while this node
    /// could not read it.
    pub fn witnesses(&self) -> Vec<SocketAddr> {
        let peer = self.inner.peer.borrow();
        feed::witnesses(peer.roster(), peer.own(), &mut *self.inner.rng.borrow_mut())
    }

    /// Announces to the other nodes that this node stops.
    pub fn leave(&self) {
        let now = self.inner.shared.now();
        let rng = &mut *self.inner.rng.borrow_mut();
        let actions = self.inner.peer.borrow_mut().leave(now, rng);
        self.inner.act(actions);
    }
}

async fn serve(
    inner: Rc<Inner>,
    mut ticks: mpsc::Receiver<timer::Tick>,
    mut inbox: mpsc::Receiver<PendingQuestion>,
    listener: TcpListener,
    questions: mpsc::Sender<PendingQuestion>,
) {
    let server = rpc::serve(listener, Server::new(questions).into_rpc());
    let _server = match server {
        Ok(server) => Some(server),
        Err(error) => {
            events::TROUBLE.emit(&[("operation", &"serve calls of peers"), ("error", &error)]);
            None
        }
    };
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            Ok((length, sender)) = inner.socket.recv_from(&mut buffer) => {
                inner.on_datagram(&buffer[..length], sender);
            }
            Some((question, sender)) = inbox.recv() => inner.on_question(question, sender),
            Some(tick) = ticks.recv() => inner.on_tick(tick),
            () = inner.shared.urgent_news.notified() => inner.push_crashes(inner.shared.now()),
        }
    }
}

impl Inner {
    fn on_datagram(&self, bytes: &[u8], sender: SocketAddr) {
        let Some(datagram) = Datagram::decode(bytes) else {
            events::TROUBLE.emit(&[
                ("operation", &"decode a packet"),
                ("peer", &sender),
                ("error", &format_args!("{} bytes are not a valid packet", bytes.len())),
            ]);
            return;
        };
        self.shared.on_unknown(&datagram.sender.name, "packet", datagram.unknown);
        let now = self.shared.now();
        let rng = &mut *self.rng.borrow_mut();
        let actions = self.peer.borrow_mut().on_datagram(datagram, now, rng);
        self.act(actions);
    }

    fn on_tick(&self, tick: timer::Tick) {
        let actions = {
            let mut peer = self.peer.borrow_mut();
            let state = self.shared.state.borrow();
            peer.set_reached(state.reach.answered());
            peer.set_may_reach(!state.reach.is_lost());
            peer.set_reserve(state.quarantine.news_bytes() + state.mirror.restriction_bytes());
            drop(state);
            if tick.late >= PAUSE_THRESHOLD {
                peer.on_pause(tick.now);
            }
            peer.tick(tick.now, &mut *self.rng.borrow_mut())
        };
        self.act(actions);
        self.answer_waiting();
        self.report(tick.now);
        self.push_crashes(tick.now);
        self.update_node_count(tick.now);
        let helpers = self.peer.borrow().helpers(tick.now);
        let is_needed = self.peer.borrow().is_needed(tick.now);
        let reach = &mut self.shared.state.borrow_mut().reach;
        reach.set_helpers(helpers);
        reach.set_needed(is_needed);
    }

    /// Returns up to where this node knows the published facts.
    pub(super) fn progress(&self) -> Progress {
        self.shared.state.borrow().mirror.progress()
    }

    /// Updates the estimated number of nodes that share the servers.
    fn update_node_count(&self, now: Time) {
        let known = self.peer.borrow().roster().records().count() as u32;
        let balancer = &mut self.shared.state.borrow_mut().balancer;
        let before = balancer.nodes();
        let nodes = self.size_estimator.estimate(known, before, now);
        if nodes != before {
            events::NODES.emit(&[("nodes", &nodes), ("before", &before)]);
            balancer.set_nodes(nodes);
            self.shared.metrics.nodes.set(i64::from(nodes));
        }
    }

    pub(super) fn act(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(address, mut packet) => {
                    if packet.is_probe() {
                        let state = &mut *self.shared.state.borrow_mut();
                        let now = self.shared.now();
                        packet.fill(state.mirror.next_restrictions(now).into_iter());
                        packet.fill(state.quarantine.next_news(now).into_iter());
                    }
                    let bytes = packet.encode();
                    self.shared.metrics.peer_bytes.inc_by(bytes.len() as u64);
                    // A lost datagram is compensated by the next round of gossip.
                    let _ = self.socket.try_send_to(&bytes, address);
                }
                Action::Changed => {}
                Action::Deliver(news, _) => self.on_news(news),
                Action::Progress(progress, rpc) => self.on_progress(progress, rpc),
                Action::Sync(address) => {
                    let packets = self.peer.borrow().send_roster(address);
                    self.act(packets);
                }
            }
        }
    }

    fn on_question(&self, question: Question, sender: oneshot::Sender<Reply>) {
        let due = self.shared.now() + Duration::from_millis(question.wait_millis);
        self.waiting.borrow_mut().push(question, sender, due);
        self.answer_waiting();
    }

    /// Answers the questions for which there is an update, or that have waited long enough.
    fn answer_waiting(&self) {
        let now = self.shared.now();
        let due = self.waiting.borrow_mut().take_due(|it| self.has_update(it), now);
        for (question, sender) in due {
            // The peer may have given up waiting.
            let _ = sender.send(self.answer(&question));
        }
    }

    fn has_update(&self, question: &Question) -> bool {
        let state = self.shared.state.borrow();
        let is_away = state.balancer.directory().is_store_unavailable();
        state.mirror.progress().is_ahead_of(&question.progress) || is_away != question.is_away
    }

    fn answer(&self, question: &Question) -> Reply {
        let now = self.shared.now();
        let age = now.since(self.contact.get());
        let packed = if question.accepts_packed { self.packed(&question.progress) } else { None };
        let state = self.shared.state.borrow();
        let uptime = state.balancer.directory().uptime();
        let removed = || state.balancer.directory().removed().collect();
        let told = || state.mirror.update_since(&question.progress, &state.balancer);
        Reply {
            contact_age_millis: age.as_millis() as u64,
            is_away: state.balancer.directory().is_store_unavailable(),
            uptime: uptime.map(|it| UptimeAge::new(it, now)),
            told: if packed.is_none() { told() } else { None },
            packed,
            removed: if question.wants_removed { removed() } else { Vec::new() },
        }
    }

    /// Returns the packed update of a peer whose progress is `known`, if it is long. Most followers
    /// know the same, so that one update is packed once for all of them.
    fn packed(&self, known: &Progress) -> Option<String> {
        let progress = self.progress();
        let now = self.shared.now();
        let mut last = self.packed.borrow_mut();
        let is_same = |it: &&Packed| {
            it.progress == progress && it.known == *known && now.since(it.at) < PACKED_TTL
        };
        if let Some(last) = last.as_ref().filter(is_same) {
            return last.text.clone();
        }
        let state = self.shared.state.borrow();
        let update = state.mirror.update_since(known, &state.balancer);
        let text = update.as_ref().and_then(pack);
        *last = Some(Packed { known: *known, progress, at: now, text: text.clone() });
        text
    }
}
