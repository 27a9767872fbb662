//! A content that crashes servers comes again and again at any node of a fleet whose nodes restart,
//! lose packets and are cut off.

use std::collections::BTreeSet;

use mimosabridge::{
    directory::Entry,
    fingerprint::Fingerprint,
    member::{Action, Incarnation, News, Packet, Peer, Record},
    name::Name,
    quarantine::{Detector, Effect, List, Loss, Sign},
    time::Time,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

use crate::fixture::{entry, record};

/// How long a node must have run undisturbed for a send to count.
const STABLE_MILLIS: u64 = 4_000;

/// The counted sends that are allowed once the content has crashed three servers.
const MAX_LATE_SENDS: usize = 3;

/// The step of the simulated time, in milliseconds.
const STEP: u64 = 5;

const MINUTE: u64 = 60_000;

const SERVERS: usize = 60;

/// One in this many packets is held up for three seconds.
const HELD_UP_ONE_IN: u32 = 50;

struct Node {
    /// When the process started, where its clock begins.
    started: u64,
    peer: Peer,
    list: List,
    detector: Detector,
    /// Since when the node has run undisturbed.
    stable_since: u64,
    /// Until when the node is cut off from the others.
    cut_until: u64,
    next_tick: u64,
    /// Servers to check, with the time.
    checks: Vec<(u64, usize)>,
}

struct Fleet {
    nodes: Vec<Node>,
    /// Packets under way, with the time of their arrival and the number of their receiver.
    packets: Vec<(u64, usize, Packet)>,
    /// Until when each server is down.
    servers: Vec<u64>,
    /// How often each server has started.
    starts: Vec<u64>,
    crashes: Vec<u64>,
    late_sends: usize,
    loss: f64,
    /// Whether connections to servers that have ended are refused. Else they are accepted.
    is_refusing: bool,
    rng: StdRng,
}

fn content() -> Fingerprint {
    Fingerprint::new(&Name::new("rule"), b"crash")
}

fn server(number: usize) -> Name {
    entry(number as u16, "one", "a").id
}

fn own(number: usize, millis: u64) -> Record {
    let incarnation = Incarnation { boot: millis + 1, refutation: 0 };
    Record { incarnation, ..record(number as u16, "a") }
}

fn start(number: usize, millis: u64) -> Node {
    let mut peer = Peer::new(own(number, millis), Default::default(), Time::ZERO);
    peer.set_seeds((0..3).map(|it| own(it, 0).peer).collect::<BTreeSet<_>>());
    Node {
        started: millis,
        peer,
        list: List::new(),
        detector: Detector::new(),
        stable_since: millis,
        cut_until: 0,
        next_tick: millis,
        checks: Vec::new(),
    }
}

impl Node {
    fn now(&self, millis: u64) -> Time {
        Time::from_millis(millis - self.started)
    }
}

impl Fleet {
    fn new(nodes: usize, loss: f64, is_refusing: bool, seed: u64) -> Fleet {
        Fleet {
            nodes: (0..nodes).map(|it| start(it, 0)).collect(),
            packets: Vec::new(),
            servers: vec![0; SERVERS],
            starts: vec![1; SERVERS],
            crashes: Vec::new(),
            late_sends: 0,
            loss,
            is_refusing,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn run(&mut self, to: u64) {
        let mut next_request = 10_000;
        let mut next_fault = 5_000;
        for millis in (0..to).step_by(STEP as usize) {
            self.deliver(millis);
            for number in 0..self.nodes.len() {
                self.tick(number, millis);
            }
            if millis >= next_fault {
                next_fault = millis + self.rng.random_range(500..4_000);
                self.disturb(millis);
            }
            if millis >= next_request {
                next_request = millis + self.rng.random_range(50..3_000);
                let number = self.rng.random_range(0..self.nodes.len());
                self.request(number, millis);
            }
        }
    }

    /// Restarts a node, or cuts it off for a while.
    fn disturb(&mut self, millis: u64) {
        let number = self.rng.random_range(0..self.nodes.len());
        if self.rng.random() {
            self.nodes[number] = start(number, millis);
            return;
        }
        let until = millis + self.rng.random_range(1_000..8_000);
        self.nodes[number].cut_until = until;
        self.nodes[number].stable_since = until;
    }

    /// Sends the content as a node does: twice, or once if it is suspect.
    fn request(&mut self, number: usize, millis: u64) {
        let node = &self.nodes[number];
        if node.list.is_quarantined(content(), node.now(millis)) {
            return;
        }
        let is_suspect = node.list.is_suspect(content(), node.now(millis))
            || node.detector.is_suspect(content());
        for attempt in 0..if is_suspect { 1 } else { 2 } {
            self.send(number, millis + attempt * 3);
        }
    }

    fn send(&mut self, number: usize, millis: u64) {
        let up: Vec<_> = (0..self.servers.len()).filter(|it| self.servers[*it] <= millis).collect();
        let target = up[self.rng.random_range(0..up.len())];
        let node = &mut self.nodes[number];
        let third = self.crashes.get(2);
        let is_stable = millis >= node.stable_since + STABLE_MILLIS;
        if is_stable && third.is_some_and(|it| millis > it + STABLE_MILLIS) {
            self.late_sends += 1;
        }
        self.servers[target] = millis + self.rng.random_range(1_000..4_000);
        self.crashes.push(millis);
        let is_repeat = node.detector.is_repeat(content(), node.now(millis))
            || node.list.is_repeat(content(), node.now(millis), node.now(millis));
        let broke = node.now(millis + 2);
        let entry = Entry { born: self.starts[target], ..entry(target as u16, "one", "a") };
        self.starts[target] += 1;
        if node.detector.on_lost(content(), &entry, Loss::Broken, is_repeat, broke) {
            node.checks.push((millis + 102, target));
        }
    }

    fn tick(&mut self, number: usize, millis: u64) {
        let node = &mut self.nodes[number];
        let due: Vec<_> = node.checks.extract_if(.., |it| it.0 <= millis).collect();
        for (_, target) in due {
            node.detector.on_checked(&server(target));
            if self.is_refusing {
                node.detector.on_sign(&server(target), Sign::Refused);
            }
        }
        if millis >= node.next_tick {
            node.next_tick = millis + 150;
            for (fingerprint, crash) in node.detector.weigh(|_| false, node.now(millis)) {
                node.list.record_crash(fingerprint, crash, node.now(millis));
                let news = node.list.news(fingerprint, node.now(millis));
                let actions = node.peer.push_now(news, &mut self.rng);
                act(&mut self.packets, node, number, actions, self.loss, millis, &mut self.rng);
            }
            node.peer.set_reserve(node.list.news_bytes());
            let actions = node.peer.tick(node.now(millis), &mut self.rng);
            act(&mut self.packets, node, number, actions, self.loss, millis, &mut self.rng);
        }
    }

    fn deliver(&mut self, millis: u64) {
        let due: Vec<_> = self.packets.extract_if(.., |it| it.0 <= millis).collect();
        for (_, number, packet) in due {
            let node = &mut self.nodes[number];
            if node.cut_until > millis {
                continue;
            }
            let actions = node.peer.on_packet(packet, node.now(millis), &mut self.rng);
            act(&mut self.packets, node, number, actions, self.loss, millis, &mut self.rng);
        }
    }
}

/// Does what the driver of a node does with the actions of its peer.
fn act(
    packets: &mut Vec<(u64, usize, Packet)>,
    node: &mut Node,
    number: usize,
    actions: Vec<Action>,
    loss: f64,
    millis: u64,
    rng: &mut StdRng,
) {
    for action in actions {
        match action {
            Action::Send(address, mut packet) => {
                if packet.is_probe() {
                    packet.fill(node.list.next_news(node.now(millis)).into_iter());
                }
                let to = usize::from(address.port() - 1_000);
                if to != number && node.cut_until <= millis && rng.random::<f64>() >= loss {
                    let is_held_up = rng.random_range(0..HELD_UP_ONE_IN) == 0;
                    let delay = if is_held_up { 3_000 } else { rng.random_range(1..10) };
                    packets.push((millis + delay, to, *packet));
                }
            }
            Action::Deliver(News::Evidence { fingerprint, evidence }, _) => {
                let effect = node.list.receive(fingerprint, evidence, node.now(millis));
                if effect == Effect::Quarantined {
                    let news = node.list.news(fingerprint, node.now(millis));
                    let actions = node.peer.push_now(news, rng);
                    act(packets, node, number, actions, loss, millis, rng);
                }
            }
            Action::Sync(address) => {
                let actions = node.peer.send_roster(address);
                act(packets, node, number, actions, loss, millis, rng);
            }
            Action::Changed | Action::Deliver(..) | Action::Progress(..) => {}
        }
    }
}

#[rstest]
fn few_late_sends(
    #[values(8, 40)] nodes: usize,
    #[values(0.0, 0.2)] loss: f64,
    #[values(true, false)] is_refusing: bool,
) {
    // News of members filled the packets with seed 349.
    for seed in (0..25).chain([349]) {
        let mut fleet = Fleet::new(nodes, loss, is_refusing, seed);
        fleet.run(MINUTE);
        assert!(fleet.crashes.len() >= 3, "seed {seed}: the content comes to servers");
        assert!(
            fleet.late_sends <= MAX_LATE_SENDS,
            "seed {seed}: {} late sends, {} crashes",
            fleet.late_sends,
            fleet.crashes.len()
        );
    }
}
