//! A test environment: a few peers that exchange packets in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use mimosabridge::{
    member::{Action, Incarnation, News, Packet, Peer, Record, Roles, Settings, State},
    name::Name,
    time::Time,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const TICK: Duration = Duration::from_millis(100);

/// The most bytes that a packet may have, so that control traffic stays within 2 KB/s.
const PACKET_BOUND: usize = 448;

/// Simulates a few peers and the network between them.
pub struct Mesh {
    pub now: Time,
    pub peers: BTreeMap<SocketAddr, Peer>,
    pub down: HashSet<SocketAddr>,
    pub paused: HashSet<SocketAddr>,
    /// Nodes that only reach one another.
    pub partition: HashSet<SocketAddr>,
    pub loss: f64,
    /// Nodes that read the platform on every tick.
    pub platform_readers: HashSet<SocketAddr>,
    /// The news about other things than nodes that each peer was handed, with the time of the first
    /// delivery.
    pub delivered: HashMap<SocketAddr, Vec<(Time, News)>>,
    pub largest_packet: usize,
    rng: StdRng,
    packets: BinaryHeap<Reverse<InFlight>>,
    next_packet: u64,
}

/// A packet in flight: when it arrives, its number, its receiver and its bytes.
type InFlight = (Time, u64, SocketAddr, Vec<u8>);

/// Returns the address of a node.
pub fn address(number: usize) -> SocketAddr {
    ([10, 0, (number / 250) as u8, (number % 250) as u8], 8_082).into()
}

/// Returns the record of a node.
pub fn record(number: usize, boot: u64) -> Record {
    Record {
        name: Name::new(format!("node-{number}")),
        data_centre: Name::new(format!("dc-{}", number % 3)),
        roles: Roles { entry: true, gate: true },
        peer: address(number),
        rpc: address(number),
        incarnation: Incarnation { boot, refutation: 0 },
        state: State::Alive,
    }
}

impl Mesh {
    /// Creates nodes that know only the first one.
    pub fn new(count: usize, seed: u64) -> Mesh {
        let mut mesh = Mesh {
            now: Time::from_millis(1),
            peers: BTreeMap::new(),
            down: HashSet::new(),
            paused: HashSet::new(),
            partition: HashSet::new(),
            loss: 0.0,
            platform_readers: HashSet::new(),
            delivered: HashMap::new(),
            largest_packet: 0,
            rng: StdRng::seed_from_u64(seed),
            packets: BinaryHeap::new(),
            next_packet: 0,
        };
        for number in 0..count {
            mesh.start(number, 1);
        }
        mesh
    }

    /// Creates nodes that have discovered one another.
    pub fn joined(count: usize, seed: u64) -> Mesh {
        let mut mesh = Mesh::new(count, seed);
        mesh.run(Duration::from_secs(30));
        assert!(mesh.has_converged(count), "the nodes have discovered one another");
        mesh
    }

    /// Starts a node with a boot number.
    pub fn start(&mut self, number: usize, boot: u64) {
        let mut peer = Peer::new(record(number, boot), Settings::new(), self.now);
        peer.set_seeds([address(0)].into());
        self.down.remove(&address(number));
        self.peers.insert(address(number), peer);
    }

    /// Runs all peers for a span.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let next = self.now + TICK;
            self.deliver(next);
            self.now = next;
            self.tick();
        }
    }

    /// Makes a node announce news.
    pub fn announce(&mut self, number: usize, news: News) {
        let peer = self.peers.get_mut(&address(number)).expect("the node exists");
        let actions = peer.announce(news, &mut self.rng);
        self.act(address(number), actions);
    }

    /// Makes a node announce that it stops.
    pub fn leave(&mut self, number: usize) {
        let now = self.now;
        let peer = self.peers.get_mut(&address(number)).expect("the node exists");
        let actions = peer.leave(now, &mut self.rng);
        self.act(address(number), actions);
    }

    /// Resumes a paused node.
    pub fn resume(&mut self, number: usize) {
        self.paused.remove(&address(number));
        let now = self.now;
        self.peers.get_mut(&address(number)).expect("the node exists").on_pause(now);
    }

    /// Returns the state of the node `other` in the roster of a node.
    pub fn state_of(&self, number: usize, other: usize) -> Option<State> {
        let name = Name::new(format!("node-{other}"));
        self.peers[&address(number)].roster().get(&name).map(|it| it.state)
    }

    /// Returns whether exactly `count` nodes take work in the roster of every node that is up.
    pub fn has_converged(&self, count: usize) -> bool {
        let up = self.peers.iter().filter(|(address, _)| !self.down.contains(address));
        let alive = |it: &Peer| it.roster().records().filter(|it| it.takes_work()).count();
        up.clone().all(|(_, it)| alive(it) == count)
    }

    /// Returns the nodes that count themselves as isolated.
    pub fn isolated(&self) -> HashSet<SocketAddr> {
        let up = self.peers.iter().filter(|(address, _)| !self.down.contains(address));
        up.filter(|(_, it)| it.is_isolated(self.now)).map(|(address, _)| *address).collect()
    }

    /// Returns the number of nodes to which a news item has been delivered.
    pub fn receivers(&self, news: &News) -> usize {
        self.delivered.values().filter(|it| it.iter().any(|(_, it)| it == news)).count()
    }

    fn tick(&mut self) {
        let addresses: Vec<_> = self.peers.keys().copied().collect();
        for address in addresses {
            if self.down.contains(&address) || self.paused.contains(&address) {
                continue;
            }
            let now = self.now;
            let peer = self.peers.get_mut(&address).expect("the node exists");
            if self.platform_readers.contains(&address) {
                peer.on_platform_read(now);
            }
            let actions = peer.tick(now, &mut self.rng);
            self.act(address, actions);
        }
    }

    fn deliver(&mut self, until: Time) {
        while self.packets.peek().is_some_and(|Reverse(it)| it.0 <= until) {
            let Some(Reverse((at, _, to, bytes))) = self.packets.pop() else { return };
            if self.down.contains(&to) || !self.peers.contains_key(&to) {
                continue;
            }
            if self.paused.contains(&to) {
                self.send(to, bytes, Duration::from_secs(1));
                continue;
            }
            let packet = Packet::decode(&bytes).expect("the bytes are a valid packet");
            let peer = self.peers.get_mut(&to).expect("the node exists");
            let actions = peer.on_packet(packet, at, &mut self.rng);
            self.act(to, actions);
        }
    }

    fn act(&mut self, from: SocketAddr, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, packet) => {
                    let bytes = packet.encode();
                    self.largest_packet = self.largest_packet.max(bytes.len());
                    assert!(bytes.len() <= PACKET_BOUND, "{} bytes: {packet:?}", bytes.len());
                    let apart = self.partition.contains(&from) != self.partition.contains(&to);
                    if !apart && !self.rng.random_bool(self.loss) {
                        let delay = Duration::from_micros(self.rng.random_range(500..3_000));
                        self.send(to, bytes, delay);
                    }
                }
                Action::Changed | Action::Progress(..) => {}
                Action::Deliver(news, _) => self.on_delivered(from, news),
                Action::Sync(other) => self.sync(from, other),
            }
        }
    }

    /// Announces news further on its first delivery, as the nodes do.
    fn on_delivered(&mut self, at: SocketAddr, news: News) {
        let delivered = self.delivered.entry(at).or_default();
        if delivered.iter().any(|(_, it)| *it == news) {
            return;
        }
        delivered.push((self.now, news.clone()));
        let peer = self.peers.get_mut(&at).expect("the node exists");
        let actions = peer.announce(news, &mut self.rng);
        self.act(at, actions);
    }

    fn sync(&mut self, one: SocketAddr, other: SocketAddr) {
        let apart = self.partition.contains(&one) != self.partition.contains(&other);
        if apart || self.down.contains(&other) || !self.peers.contains_key(&other) {
            return;
        }
        let (ours, theirs) = (self.peers[&one].roster(), self.peers[&other].roster());
        let (ours, theirs) = (ours.differing(&theirs.digests()), theirs.differing(&ours.digests()));
        let now = self.now;
        for (address, records) in [(one, theirs), (other, ours)] {
            let peer = self.peers.get_mut(&address).expect("the node exists");
            let actions = peer.on_roster(records, now);
            self.act(address, actions);
        }
    }

    fn send(&mut self, to: SocketAddr, bytes: Vec<u8>, delay: Duration) {
        self.next_packet += 1;
        self.packets.push(Reverse((self.now + delay, self.next_packet, to, bytes)));
    }
}
