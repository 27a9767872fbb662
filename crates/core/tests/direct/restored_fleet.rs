//! Nodes that read, follow, start and stop while the store comes back from older copies again and
//! again.

use std::{collections::BTreeMap, time::Duration};

use mimosabridge::{
    balance::Balancer,
    directory::Entry,
    feed::{Fact, Mirror, Position, Snapshot},
    member::News,
    name::Name,
    plan::Spec,
    time::Time,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use rstest::rstest;

use crate::fixture::{entry, seeds, settings};

const STEP: u64 = 50;

/// How long a node must have run and the store must have answered for promises to count, in
/// milliseconds.
const STABLE_AFTER: u64 = 4_000;

/// How soon a version, a stop or a removal must be in force, in milliseconds.
const BOUND: u64 = 3_000;

/// How soon a closed data centre must be in force, in milliseconds.
const CLOSE_BOUND: u64 = 5_000;

/// What was acknowledged for less than this before the store lost it may be unknown to all nodes.
const UNREAD: u64 = 1_500;

/// How long after the last change all nodes must agree with the store, in milliseconds.
const SETTLE: u64 = 25_000;

const SERVERS: u16 = 8;

const READERS: usize = 2;

/// The share of the steps in which a node receives a packet with what another one repeats: about
/// two each second.
const PACKET_SHARE: f64 = 0.1;

/// An item of the store: a value, or the removal of one.
type Item = Option<Fact>;

#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Fact>,
    history: Vec<(u64, String, Item)>,
}

struct Node {
    mirror: Mirror,
    balancer: Balancer,
    started: u64,
    next_read: u64,
    version: u64,
}

struct World {
    era: u64,
    restored: u64,
    contents: Contents,
    /// Copies of the last seconds, with their time.
    copies: Vec<(u64, Contents)>,
    /// What the operator and the servers have last written, and since when it must be in force.
    truth: BTreeMap<String, (Item, u64)>,
    /// What is written again, and when.
    rewrites: Vec<(u64, String)>,
    nodes: Vec<Node>,
    rng: StdRng,
}

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

fn server(number: u16, born: u64, is_draining: bool) -> Fact {
    Fact::Server(Entry { born, is_draining, ..entry(number, "one", "a") })
}

fn closed() -> Fact {
    Fact::Closed(Name::new("b"))
}

/// Returns the fact that the removal of an item publishes.
fn removal(key: &str) -> Fact {
    match key {
        "closed" => Fact::Opened(Name::new("b")),
        _ => Fact::Gone(Name::new(key)),
    }
}

impl World {
    fn new(nodes: usize, seed: u64) -> World {
        let mut world = World {
            era: 1,
            restored: 0,
            contents: Contents::default(),
            copies: Vec::new(),
            truth: BTreeMap::new(),
            rewrites: Vec::new(),
            nodes: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        world.publish("plan", Some(Fact::Plan(Spec { version: 1, ..Spec::default() })), 0);
        for number in 1..=SERVERS {
            let item = Some(server(number, 1, false));
            world.publish(&format!("i-{number}"), item, 0);
        }
        world.nodes = (0..nodes).map(|it| World::node(it as u64, 0)).collect();
        world
    }

    fn node(seed: u64, started: u64) -> Node {
        Node {
            mirror: Mirror::new(),
            balancer: Balancer::new(settings(), seed),
            started,
            next_read: started,
            version: 0,
        }
    }

    /// Publishes an item that its author has not published before.
    fn publish(&mut self, key: &str, item: Item, millis: u64) {
        self.truth.insert(key.to_owned(), (item.clone(), millis));
        self.write(key, item);
    }

    fn write(&mut self, key: &str, item: Item) {
        let contents = &mut self.contents;
        if item.is_none() && !contents.items.contains_key(key) {
            return;
        }
        contents.revision += 1;
        contents.history.push((contents.revision, key.to_owned(), item.clone()));
        match item {
            Some(fact) => contents.items.insert(key.to_owned(), fact),
            None => contents.items.remove(key),
        };
    }

    fn change(&mut self, millis: u64) {
        let number = self.rng.random_range(1..=SERVERS);
        let key = format!("i-{number}");
        let current = self.truth.get(&key).and_then(|it| it.0.clone());
        match self.rng.random_range(0..6) {
            0 => {
                let version = 1 + millis / STEP;
                let plan = Fact::Plan(Spec { version, ..Spec::default() });
                self.publish("plan", Some(plan), millis);
            }
            1 => self.publish("closed", Some(closed()), millis),
            2 => self.publish("closed", None, millis),
            _ => match current {
                Some(Fact::Server(it)) if !it.is_draining => {
                    self.publish(&key, Some(server(number, it.born, true)), millis);
                }
                Some(_) => self.publish(&key, None, millis),
                None => self.publish(&key, Some(server(number, 2 + millis, false)), millis),
            },
        }
    }

    /// Brings the store back from an older copy. What it lacks is written again some time later.
    fn restore(&mut self, millis: u64) {
        let Some((taken, copy)) = self.copies.iter().choose(&mut self.rng).cloned() else { return };
        self.copies.retain(|it| it.0 <= taken);
        self.contents = copy;
        self.era += 1;
        self.restored = millis;
        for (key, (item, since)) in &mut self.truth {
            if self.contents.items.get(key) == item.as_ref() {
                continue;
            }
            // A server that is gone does not write; its entry is removed after three heartbeats.
            let delay = if item.is_none() && key != "closed" { 3_600 } else { 1_200 };
            let due = millis + self.rng.random_range(100..=delay);
            self.rewrites.push((due, key.clone()));
            if millis < *since + UNREAD {
                *since = due;
            }
        }
    }

    fn step(&mut self, millis: u64) {
        let due: Vec<_> = self.rewrites.extract_if(.., |it| it.0 <= millis).collect();
        for (_, key) in due {
            let item = self.truth[&key].0.clone();
            if self.contents.items.get(&key) != item.as_ref() {
                self.write(&key, item);
            }
        }
        self.copies.push((millis, self.contents.clone()));
        self.copies.retain(|it| it.0 + 5_000 >= millis);
        for number in 0..self.nodes.len() {
            if number < READERS && millis >= self.nodes[number].next_read {
                self.read(number, millis);
            }
            // Nodes follow a reader, or ask another one.
            let other = self.rng.random_range(0..self.nodes.len());
            let is_due = number >= READERS || self.rng.random_range(0..6) == 0;
            if other != number && is_due {
                self.fetch(number, other, millis);
            }
            if other != number && self.rng.random::<f64>() < PACKET_SHARE {
                let news = self.nodes[other].mirror.next_restrictions(at(millis));
                self.hear(number, news, millis);
            }
            let node = &mut self.nodes[number];
            node.mirror.tick(&mut node.balancer, at(millis));
        }
    }

    fn read(&mut self, number: usize, millis: u64) {
        let node = &mut self.nodes[number];
        node.next_read = millis + self.rng.random_range(100..700);
        let position = Position::new(self.era, self.contents.revision);
        let known = node.mirror.position();
        let now = at(millis);
        if known.is_start() || !position.continues(&known) {
            let facts = self.contents.items.values().cloned().collect();
            node.mirror.replace(Snapshot { position, facts }, &mut node.balancer, now);
            return;
        }
        let history = self.contents.history.iter().filter(|it| it.0 > known.revision);
        let fact = |key: &str, item: &Item| item.clone().unwrap_or_else(|| removal(key));
        let facts = history.map(|(_, key, item)| fact(key, item)).collect();
        node.mirror.extend(known, Snapshot { position, facts }, &mut node.balancer, now);
    }

    /// A node asks another one for what it lacks.
    fn fetch(&mut self, number: usize, other: usize, millis: u64) {
        let known = self.nodes[number].mirror.progress();
        let peer = &self.nodes[other];
        let update = peer.mirror.update_since(&known, &peer.balancer);
        let node = &mut self.nodes[number];
        if let Some(update) = update {
            node.mirror.apply(known.position, update, &mut node.balancer, at(millis));
        }
    }

    fn hear(&mut self, number: usize, news: Vec<News>, millis: u64) {
        let node = &mut self.nodes[number];
        for news in news {
            let News::Restriction { restriction, left_millis } = news else { continue };
            let left = Duration::from_millis(left_millis.into());
            node.mirror.on_restriction(restriction, left, &mut node.balancer, at(millis));
        }
    }

    fn check(&mut self, millis: u64, seed: u64) {
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let version = node.mirror.progress().version;
            assert!(version >= node.version, "seed {seed}: node {number} reverts at {millis} ms");
            node.version = version;
            if millis < node.started.max(self.restored) + STABLE_AFTER {
                continue;
            }
            for (key, (item, since)) in &self.truth {
                let is_due = |bound| millis >= since + bound;
                let wrong = match item {
                    Some(Fact::Plan(spec)) => is_due(BOUND) && version < spec.version,
                    Some(Fact::Closed(it)) => {
                        is_due(CLOSE_BOUND) && !node.balancer.closed().contains(it)
                    }
                    Some(Fact::Server(it)) => {
                        it.is_draining && is_due(BOUND) && node.balancer.is_usable(&it.id)
                    }
                    _ => {
                        key != "closed"
                            && is_due(BOUND)
                            && node.balancer.is_usable(&Name::new(key.as_str()))
                    }
                };
                assert!(!wrong, "seed {seed}: {key} is not in force on {number} at {millis} ms");
            }
        }
    }

    /// Checks that all nodes use what the store allows.
    fn check_settled(&self, seed: u64) {
        for (number, node) in self.nodes.iter().enumerate() {
            let is_closed = self.truth.get("closed").is_some_and(|it| it.0.is_some());
            assert_eq!(
                node.balancer.closed().len(),
                usize::from(is_closed),
                "seed {seed}: {number}"
            );
            for (key, (item, _)) in &self.truth {
                let Some(Fact::Server(it)) = item else { continue };
                let is_usable = node.balancer.is_usable(&Name::new(key.as_str()));
                assert_eq!(is_usable, !it.is_draining, "seed {seed}: {key} on {number}");
            }
        }
    }

    fn run(&mut self, seed: u64) {
        const END: u64 = 60_000;
        let (mut next_change, mut next_restore, mut next_start) = (2_000, 6_000, 8_000);
        for millis in (0..END + SETTLE).step_by(STEP as usize) {
            if millis >= next_change && millis < END {
                next_change = millis + self.rng.random_range(50..1_500);
                self.change(millis);
            }
            if millis >= next_restore && millis < END {
                next_restore = millis + self.rng.random_range(500..15_000);
                self.restore(millis);
            }
            if millis >= next_start && millis < END {
                next_start = millis + self.rng.random_range(500..6_000);
                let number = self.rng.random_range(0..self.nodes.len());
                self.nodes[number] = World::node(millis, millis);
            }
            self.step(millis);
            self.check(millis, seed);
        }
        self.check_settled(seed);
    }
}

/// Guards against any promise that a restored store breaks: a version that reverts or is late, a
/// stop, a removal or an evacuation that is undone, and nodes that disagree for good.
#[rstest]
#[case::small(4)]
#[case::larger(12)]
fn promises_kept(#[case] nodes: usize) {
    for seed in 0..seeds("RESTORED_FLEET_SEEDS", 20) {
        World::new(nodes, seed).run(seed);
    }
}
