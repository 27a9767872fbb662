//! Servers that state how many requests they take from all nodes together.

use std::time::Duration;

use mimosabridge::{
    balance::{Balancer, Observation, Purpose, Stated},
    directory::Entry,
    feed::Fact,
    name::Name,
    plan::{Rule, Target},
    scatter::{Action, End, Run, Verdict},
    time::Time,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rstest::rstest;

use crate::fixture::{Node, at, entry, rule, seeds, sends, service, settings, verdict};

/// The span over which the platform counts, in milliseconds.
const SPAN: u64 = 4_000;

/// How long after its first answer with a limit a node counts, in milliseconds.
const KNOWN_AFTER: u64 = 500;

/// How long after the first answer with a limit the platform counts, in milliseconds.
const STABLE_AFTER: u64 = 4_000;

/// How long a server takes to answer, in milliseconds.
const ANSWER_MILLIS: u64 = 20;

const STEP: u64 = 10;

struct Fleet {
    nodes: Vec<Node>,
    /// When each node had its first answer with a limit, if it has.
    known_since: Vec<Option<u64>>,
    /// The answers under way: when they arrive, and the node, the server and the time of the send.
    answers: Vec<(u64, usize, Name, u64)>,
    limit: f64,
    rng: SmallRng,
}

fn all_rules() -> Vec<Rule> {
    vec![rule("one", Target::One(Name::new("one")))]
}

fn node() -> Node {
    let entries = vec![entry(1, "one", "a"), entry(2, "one", "a")];
    Node::new(all_rules(), vec![service("one", 0.0)], entries)
}

impl Fleet {
    fn new(count: u32, limit: f64, seed: u64) -> Fleet {
        let nodes = (0..count).map(|it| Fleet::node(count, seed * 1_000 + u64::from(it))).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let known_since = vec![None; count as usize];
        Fleet { nodes, known_since, answers: Vec::new(), limit, rng }
    }

    /// Creates a node that knows one server, which states a limit.
    fn node(count: u32, seed: u64) -> Node {
        let mut node =
            Node::new(all_rules(), vec![service("one", 0.0)], vec![entry(1, "one", "a")]);
        node.balancer = Balancer::new(settings(), seed);
        node.extend(11, vec![Fact::Server(entry(1, "one", "a"))], at(0));
        node.balancer.set_nodes(count);
        node
    }

    /// Runs for a minute with `per_second` requests, in every second period of five seconds only.
    /// One node restarts each second. Returns when each counted request was sent.
    fn run(&mut self, per_second: f64) -> Vec<u64> {
        let mut counted = Vec::new();
        for millis in (0..60_000).step_by(STEP as usize) {
            self.receive(millis);
            if millis % 1_000 == 0 {
                let number = self.rng.random_range(0..self.nodes.len());
                self.nodes[number] = Fleet::node(self.nodes.len() as u32, millis);
                self.known_since[number] = None;
                self.answers.retain(|it| it.1 != number);
            }
            if (millis / 5_000) % 2 == 1 {
                continue;
            }
            let mut due = per_second * STEP as f64 / 1_000.0;
            while self.rng.random::<f64>() < due {
                due -= 1.0;
                let number = self.rng.random_range(0..self.nodes.len());
                if self.request(number, millis) && millis >= STABLE_AFTER {
                    let known = self.known_since[number];
                    counted.extend(known.filter(|it| it + KNOWN_AFTER <= millis).map(|_| millis));
                }
            }
        }
        counted
    }

    fn request(&mut self, number: usize, millis: u64) -> bool {
        let node = &mut self.nodes[number];
        let (plan, rule) = (node.plan.clone(), node.rule("one"));
        let (name, first) = (Name::new("one"), Purpose::First);
        let Some(server) = node.balancer.pick(&name, &rule, &plan, &[], first, at(millis)) else {
            return false;
        };
        node.balancer.on_sent(&server.id, &rule, at(millis));
        self.answers.push((millis + ANSWER_MILLIS, number, server.id.clone(), millis));
        true
    }

    fn receive(&mut self, millis: u64) {
        let due: Vec<_> = self.answers.extract_if(.., |it| it.0 <= millis).collect();
        for (_, number, server, sent) in due {
            let node = &mut self.nodes[number];
            let rule = node.rule("one");
            let (sent, now) = (at(sent), at(millis));
            let observation = Observation::Served;
            node.balancer.on_end(&server, &rule, sent, observation, Duration::ZERO, now);
            node.balancer.on_stated(&server, Stated::Limit(self.limit), sent, now);
            self.known_since[number].get_or_insert(millis);
        }
    }
}

/// Guards against nodes that each keep to the limit, or that all send what they have saved: together
/// they exceed it.
#[rstest]
fn limit_exceeded(
    #[values(1, 8, 91)] nodes: u32,
    #[values(0.0, 1.2, 6.7, 33.0)] limit: f64,
    #[values(20.0, 400.0)] per_second: f64,
) {
    for seed in 0..seeds("STATED_LIMITS_SEEDS", 6) {
        let counted = Fleet::new(nodes, limit, seed).run(per_second);
        let in_span =
            |from: u64| counted.iter().filter(|it| (from..from + SPAN).contains(it)).count();
        let most = counted.iter().map(|it| in_span(*it)).max().unwrap_or(0);
        let allowed = 1.5 * limit * (SPAN / 1_000) as f64 + 5.0;
        assert!(most as f64 <= allowed, "seed {seed}: {most} requests, {allowed} allowed");
    }
}

/// Guards against a limit that is shared so carefully that the server gets next to nothing.
#[rstest]
fn limit_unused(#[values(8, 91)] nodes: u32, #[values(6.7, 33.0)] limit: f64) {
    let counted = Fleet::new(nodes, limit, 1).run(400.0);
    // The fleet sends in half of a minute.
    let share = counted.len() as f64 / (limit * 30.0);
    assert!(share >= 0.5, "{share:.2} of the limit used");
}

fn state(node: &mut Node, server: u16, stated: Stated, now: Time) {
    let id = entry(server, "one", "a").id;
    node.balancer.on_stated(&id, stated, now, now);
}

/// Sends as many first attempts as the balancer allows at once. Returns the servers.
fn picked(node: &mut Node, purpose: Purpose, now: Time) -> Vec<Name> {
    let (plan, rule, name) = (node.plan.clone(), node.rule("one"), Name::new("one"));
    let pick = |_| node.balancer.pick(&name, &rule, &plan, &[], purpose, now);
    (0..20).filter_map(pick).map(|it| it.id.clone()).collect()
}

#[test]
fn other_copies_first() {
    let mut node = node();
    state(&mut node, 1, Stated::Limit(0.1), at(0));
    let servers = picked(&mut node, Purpose::First, at(1));
    assert!(servers.len() == 20 && servers.iter().all(|it| it.as_str() == "i-2"), "{servers:?}");
}

/// Guards against retries and hedges at a server that can't even take first attempts.
#[rstest]
fn no_extra_attempts(#[values(Purpose::Retry, Purpose::Hedge)] extra: Purpose) {
    let mut node = node();
    state(&mut node, 1, Stated::Limit(1_000.0), at(0));
    state(&mut node, 2, Stated::Limit(1_000.0), at(0));
    assert!(picked(&mut node, extra, at(1_000)).is_empty());
    assert_eq!(picked(&mut node, Purpose::First, at(1_000)).len(), 20);
}

/// Guards against requests that wait for a server that takes no more: they are refused at once.
#[test]
fn refused_at_once() {
    let mut node = node();
    for server in [1, 2] {
        state(&mut node, server, Stated::Limit(2.0), at(0));
    }
    let rule = node.rule("one");
    let mut run = Run::new(rule, Duration::from_secs(3), &mut node.context(at(1)));
    let actions = run.start(&mut node.context(at(1)));
    let Some(Verdict::Refuse(refusal)) = verdict(&actions) else {
        panic!("not refused: {actions:?}")
    };
    assert!(sends(&actions).is_empty());
    // Any node may take the next request, not just this one.
    assert!(refusal.retry_after <= Duration::from_secs(1), "{:?}", refusal.retry_after);
}

/// Guards against a limit that outlasts the server's need.
#[test]
fn limit_ends() {
    let mut node = node();
    state(&mut node, 1, Stated::Limit(0.1), at(1_000));
    let id = Name::new("i-1");
    let changed = node.balancer.on_stated(&id, Stated::NoLimit, at(900), at(1_100));
    assert!(!changed, "the answer to an earlier request shows nothing");
    assert!(node.balancer.on_stated(&id, Stated::NoLimit, at(1_200), at(1_300)));
    assert!(node.balancer.server(&id).is_some_and(|it| it.quota().is_none()));
    assert_eq!(node.balancer.take_unlimited(), [id.key()]);
    assert!(node.balancer.take_unlimited().is_empty());
}

/// A node that may send once in a minute would not notice the end of a limit for as long.
#[test]
fn end_passed_on() {
    let mut node = node();
    state(&mut node, 1, Stated::Limit(0.1), at(0));
    let id = Name::new("i-1");
    node.balancer.on_unlimited(&[id.key()], at(500));
    assert!(
        node.balancer.server(&id).is_some_and(|it| it.quota().is_some()),
        "the report may be older than this node's own answer"
    );
    node.balancer.on_unlimited(&[id.key()], at(1_500));
    assert!(node.balancer.server(&id).is_some_and(|it| it.quota().is_none()));
}

/// Guards against a limit that is forgotten because the entry of its server is gone for a moment.
#[test]
fn overwritten_entry() {
    let mut node = node();
    state(&mut node, 1, Stated::Limit(0.1), at(0));
    node.extend(11, vec![Fact::Gone(Name::new("i-1"))], at(100));
    state(&mut node, 1, Stated::Limit(0.2), at(200));
    node.extend(12, vec![Fact::Server(entry(1, "one", "a"))], at(1_300));
    node.extend(13, vec![Fact::Gone(Name::new("i-2"))], at(1_300));
    assert_eq!(picked(&mut node, Purpose::First, at(1_400)), [] as [Name; 0]);
    let restarted = Entry { born: 2, ..entry(1, "one", "a") };
    node.extend(14, vec![Fact::Server(restarted)], at(2_000));
    assert_eq!(picked(&mut node, Purpose::First, at(2_100)).len(), 20);
}

/// A server that has started again knows nothing of the limit of its predecessor.
#[test]
fn restarted_server() {
    let mut node = node();
    state(&mut node, 1, Stated::Limit(0.1), at(0));
    let restarted = Entry { born: 2, ..entry(1, "one", "a") };
    node.extend(11, vec![Fact::Server(restarted)], at(1));
    let id = Name::new("i-1");
    assert!(node.balancer.server(&id).is_some_and(|it| it.quota().is_none()));
}

/// A retry of a lost attempt must not fall back on a limited server either.
#[test]
fn retry_refused() {
    let mut node = node();
    state(&mut node, 1, Stated::Limit(0.1), at(0));
    let rule = node.rule("one");
    let mut run = Run::new(rule, Duration::from_secs(3), &mut node.context(at(1)));
    let actions = run.start(&mut node.context(at(1)));
    let attempt = sends(&actions).remove(0);
    assert_eq!(attempt.server.id.as_str(), "i-2");
    let actions = run.on_end(attempt.number, End::Broken, &mut node.context(at(2)));
    assert!(!actions.iter().any(|it| matches!(it, Action::Send(_))), "{actions:?}");
}
