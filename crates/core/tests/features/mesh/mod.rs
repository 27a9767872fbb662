//! A test environment: a few peers whose packets travel in virtual time.

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

/// The most bytes that a packet may have, so that control stays within 2 KB/s.
const PACKET_BOUND: usize = 448;

/// A few peers.
pub struct Mesh {
    pub now: Time,
    pub peers: BTreeMap<SocketAddr, Peer>,
    pub down: HashSet<SocketAddr>,
    pub asleep: HashSet<SocketAddr>,
    /// Nodes that hear only one another.
    pub island: HashSet<SocketAddr>,
    pub loss: f64,
    /// Nodes that read the platform all the time.
    pub readers: HashSet<SocketAddr>,
    /// When each peer was first told each news that is not of members.
    pub told: HashMap<SocketAddr, Vec<(Time, News)>>,
    pub largest: usize,
    rng: StdRng,
    packets: BinaryHeap<Reverse<Travelling>>,
    next_packet: u64,
}

/// A packet on its way: when it arrives, its number, its receiver and its bytes.
type Travelling = (Time, u64, SocketAddr, Vec<u8>);

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
            asleep: HashSet::new(),
            island: HashSet::new(),
            loss: 0.0,
            readers: HashSet::new(),
            told: HashMap::new(),
            largest: 0,
            rng: StdRng::seed_from_u64(seed),
            packets: BinaryHeap::new(),
            next_packet: 0,
        };
        for number in 0..count {
            mesh.start(number, 1);
        }
        mesh
    }

    /// Creates nodes that have found one another.
    pub fn joined(count: usize, seed: u64) -> Mesh {
        let mut mesh = Mesh::new(count, seed);
        mesh.run(Duration::from_secs(30));
        assert!(mesh.agrees(count), "the nodes have found one another");
        mesh
    }

    /// Starts a node in a life of its own.
    pub fn start(&mut self, number: usize, boot: u64) {
        let mut peer = Peer::new(record(number, boot), Settings::new(), self.now);
        peer.set_seeds([address(0)].into());
        self.down.remove(&address(number));
        self.peers.insert(address(number), peer);
    }

    /// Runs for a span.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let next = self.now + TICK;
            self.deliver(next);
            self.now = next;
            self.tick();
        }
    }

    /// Announces news at a node.
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

    /// Wakes a node that slept.
    pub fn wake(&mut self, number: usize) {
        self.asleep.remove(&address(number));
        let now = self.now;
        self.peers.get_mut(&address(number)).expect("the node exists").on_pause(now);
    }

    /// Returns what a node believes of another.
    pub fn belief(&self, number: usize, other: usize) -> Option<State> {
        let name = Name::new(format!("node-{other}"));
        self.peers[&address(number)].roster().get(&name).map(|it| it.state)
    }

    /// Returns whether every node that is up believes exactly `count` nodes to take work.
    pub fn agrees(&self, count: usize) -> bool {
        let up = self.peers.iter().filter(|(address, _)| !self.down.contains(address));
        let alive = |it: &Peer| it.roster().records().filter(|it| it.takes_work()).count();
        up.clone().all(|(_, it)| alive(it) == count)
    }

    /// Returns the nodes that count themselves as isolated.
    pub fn isolated(&self) -> HashSet<SocketAddr> {
        let up = self.peers.iter().filter(|(address, _)| !self.down.contains(address));
        up.filter(|(_, it)| it.is_isolated(self.now)).map(|(address, _)| *address).collect()
    }

    /// Returns how many nodes were told a news item by now.
    pub fn heard(&self, news: &News) -> usize {
        self.told.values().filter(|it| it.iter().any(|(_, told)| told == news)).count()
    }

    fn tick(&mut self) {
        let addresses: Vec<_> = self.peers.keys().copied().collect();
        for address in addresses {
            if self.down.contains(&address) || self.asleep.contains(&address) {
                continue;
            }
            let now = self.now;
            let peer = self.peers.get_mut(&address).expect("the node exists");
            if self.readers.contains(&address) {
                peer.on_platform(now);
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
            if self.asleep.contains(&to) {
                self.send(to, bytes, Duration::from_secs(1));
                continue;
            }
            let packet = Packet::decode(&bytes).expect("packets are whole");
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
                    self.largest = self.largest.max(bytes.len());
                    assert!(bytes.len() <= PACKET_BOUND, "{} bytes: {packet:?}", bytes.len());
                    let apart = self.island.contains(&from) != self.island.contains(&to);
                    if !apart && !self.rng.random_bool(self.loss) {
                        let delay = Duration::from_micros(self.rng.random_range(500..3_000));
                        self.send(to, bytes, delay);
                    }
                }
                Action::Changed => {}
                Action::Tell(news, _) => self.on_told(from, news),
                Action::Sync(other) => self.sync(from, other),
            }
        }
    }

    /// Passes news on when it is first heard, as a keeper does.
    fn on_told(&mut self, at: SocketAddr, news: News) {
        let told = self.told.entry(at).or_default();
        if told.iter().any(|(_, it)| *it == news) {
            return;
        }
        told.push((self.now, news.clone()));
        let peer = self.peers.get_mut(&at).expect("the node exists");
        let actions = peer.announce(news, &mut self.rng);
        self.act(at, actions);
    }

    fn sync(&mut self, one: SocketAddr, other: SocketAddr) {
        let apart = self.island.contains(&one) != self.island.contains(&other);
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
