use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use mimosabridge::{
    config::{Digest, Stamp},
    feed::{Lag, Selector, Upstream},
    fingerprint::Fingerprint,
    member::{Action, News, Packet, Peer, Record, SizeEstimator, State},
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
    rpc::{Asked, PublishedServer, Question, Reply, Server},
    waitlist::Waitlist,
};
use crate::{
    events,
    node::{PAUSE, Shared},
};

/// How often the rounds of the exchange are looked at.
const TICK: Duration = Duration::from_millis(150);

/// The most bytes of a datagram.
const MAX_DATAGRAM: usize = 2_048;

/// Questions of other nodes that may wait.
const QUESTIONS: usize = 64;

/// The exchange of this node with the others. Clones are handles to the same exchange.
#[derive(Clone)]
pub struct Exchange {
    inner: Rc<Inner>,
}

/// What the handles to an exchange share.
pub(super) struct Inner {
    pub(super) shared: Rc<Shared>,
    pub(super) socket: UdpSocket,
    pub(super) peer: RefCell<Peer>,
    pub(super) rng: RefCell<StdRng>,
    pub(super) contact: Cell<Time>,
    pub(super) lag: RefCell<Lag>,
    pub(super) selector: RefCell<Selector>,
    pub(super) is_behind: Notify,
    pub(super) waiting: RefCell<Waitlist>,
    pub(super) next_report: Cell<Time>,
    pub(super) size_estimator: SizeEstimator,
}

/// Starts the exchange.
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
        is_behind: Notify::new(),
        waiting: RefCell::new(Waitlist::new()),
        next_report: Cell::new(now),
        size_estimator: SizeEstimator::new(now),
    });
    let (questions, inbox) = mpsc::channel(QUESTIONS);
    tokio::task::spawn_local(serve(inner.clone(), timer.every(TICK), inbox, listener, questions));
    Exchange { inner }
}

impl Exchange {
    /// Tells the others that a content crashed a server.
    pub fn tell_crash(&self, fingerprint: Fingerprint, server: &Name) {
        let news = News::Crash { fingerprint, server: server.clone() };
        let rng = &mut *self.inner.rng.borrow_mut();
        let actions = self.inner.peer.borrow_mut().announce(news, rng);
        self.inner.act(actions);
    }

    /// Takes note that the store answered this node, or one that it hears, some time ago.
    pub fn on_contact(&self, age: Duration) {
        let heard = self.inner.shared.now().before(age);
        self.inner.contact.set(self.inner.contact.get().max(heard));
    }

    /// Returns from where this node learns what is published.
    pub fn upstream(&self) -> Upstream {
        let peer = self.inner.peer.borrow();
        let now = self.inner.shared.now();
        self.inner.selector.borrow_mut().upstream(peer.roster(), peer.own(), now)
    }

    /// Takes note that the reader that this node follows answered, and whether it is without the
    /// store.
    pub fn on_upstream_answer(&self, is_away: bool) {
        self.inner.selector.borrow_mut().on_answer(is_away, self.inner.shared.now());
    }

    /// Takes note that a reader that this node follows did not answer.
    pub fn on_upstream_failure(&self, reader: &Name) {
        self.inner.selector.borrow_mut().on_failure(reader, self.inner.shared.now());
    }

    /// Takes note that this node may know more of what is published.
    pub fn on_learned(&self) {
        self.inner.peer.borrow_mut().set_config(stamp(self.inner.revision()));
        self.inner.answer_waiting();
    }

    /// Tells some nodes at once that there is something new.
    pub fn push(&self) {
        self.on_learned();
        let news = News::Config { stamp: stamp(self.inner.revision()), in_force: true };
        let rng = &mut *self.inner.rng.borrow_mut();
        let actions = self.inner.peer.borrow_mut().announce(news, rng);
        self.inner.act(actions);
    }

    /// Returns where some live node takes calls.
    pub fn some_peer(&self) -> Option<SocketAddr> {
        let peer = self.inner.peer.borrow();
        let own = &peer.own().name;
        let others = peer.roster().records();
        let others = others.filter(|it| it.state == State::Alive && it.name != *own);
        others.map(|it| it.rpc).choose(&mut *self.inner.rng.borrow_mut())
    }

    /// Waits until a peer knows more than this node. Returns when to ask one.
    pub async fn behind(&self) -> Time {
        loop {
            let told = self.inner.is_behind.notified();
            let known = self.inner.revision();
            if let Some(due) = self.inner.lag.borrow().due(known) {
                return due;
            }
            told.await;
        }
    }

    /// Returns whether a peer still knows more than this node.
    pub fn is_behind(&self) -> bool {
        self.inner.lag.borrow().due(self.inner.revision()).is_some()
    }

    /// Takes note that a peer was asked and did not tell more.
    pub fn on_vain(&self) {
        self.inner.lag.borrow_mut().on_nothing_new(self.inner.shared.now());
    }

    /// Tells the others that this node stops.
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
    mut inbox: mpsc::Receiver<Asked>,
    listener: TcpListener,
    questions: mpsc::Sender<Asked>,
) {
    let server = rpc::serve(listener, Server::new(questions).into_rpc());
    let _server = match server {
        Ok(server) => Some(server),
        Err(error) => {
            events::TROUBLE.emit(&[("operation", &"serve calls of peers"), ("error", &error)]);
            None
        }
    };
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        tokio::select! {
            Ok((length, _)) = inner.socket.recv_from(&mut buffer) => {
                inner.on_datagram(&buffer[..length]);
            }
            Some((question, sender)) = inbox.recv() => inner.on_question(question, sender),
            Some(tick) = ticks.recv() => inner.on_tick(tick),
        }
    }
}

impl Inner {
    fn on_datagram(&self, bytes: &[u8]) {
        let Some(packet) = Packet::decode(bytes) else {
            events::TROUBLE.emit(&[
                ("operation", &"decode a packet"),
                ("error", &format_args!("{} bytes are no packet of a node", bytes.len())),
            ]);
            return;
        };
        let now = self.shared.now();
        let rng = &mut *self.rng.borrow_mut();
        let actions = self.peer.borrow_mut().on_packet(packet, now, rng);
        self.act(actions);
    }

    fn on_tick(&self, tick: timer::Tick) {
        let actions = {
            let mut peer = self.peer.borrow_mut();
            if tick.late >= PAUSE {
                peer.on_pause(tick.now);
            }
            peer.tick(tick.now, &mut *self.rng.borrow_mut())
        };
        self.act(actions);
        self.answer_waiting();
        self.report(tick.now);
        self.count(tick.now);
    }

    /// Returns the revision up to which this node knows what is published.
    pub(super) fn revision(&self) -> u64 {
        self.shared.beliefs.borrow().mirror.revision()
    }

    /// Counts the nodes that share the servers.
    fn count(&self, now: Time) {
        let known = self.peer.borrow().roster().records().count() as u32;
        let balancer = &mut self.shared.beliefs.borrow_mut().balancer;
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
                Action::Send(address, packet) => {
                    let bytes = packet.encode();
                    self.shared.metrics.peer_bytes.inc_by(bytes.len() as u64);
                    // A datagram that is lost is made good by the next round.
                    let _ = self.socket.try_send_to(&bytes, address);
                }
                Action::Changed => {}
                Action::Deliver(news, _) => self.on_news(news),
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

    /// Answers the questions to which there is something to tell, or that have waited long enough.
    fn answer_waiting(&self) {
        let now = self.shared.now();
        let due = self.waiting.borrow_mut().take_due(|it| self.has_news(it), now);
        for (question, sender) in due {
            // The asker may have given up.
            let _ = sender.send(self.answer(&question));
        }
    }

    fn has_news(&self, question: &Question) -> bool {
        let beliefs = self.shared.beliefs.borrow();
        let is_away = beliefs.balancer.directory().is_store_unavailable();
        beliefs.mirror.revision() > question.revision || is_away != question.is_away
    }

    fn answer(&self, question: &Question) -> Reply {
        let age = self.shared.now().since(self.contact.get());
        let beliefs = self.shared.beliefs.borrow();
        Reply {
            contact_age_millis: age.as_millis() as u64,
            is_away: beliefs.balancer.directory().is_store_unavailable(),
            told: beliefs.mirror.update_since(question.revision, &beliefs.balancer),
        }
    }
}

fn stamp(revision: u64) -> Stamp {
    // What is published is named by the revision of the store alone.
    Stamp { version: revision, digest: Digest::from_u128(0) }
}
