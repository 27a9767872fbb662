//! Servers that reject requests and say for how long they want none.

use std::{sync::Arc, time::Duration};

use mimosabridge::{
    balance::{MAX_REST, Purpose},
    directory::Entry,
    feed::Fact,
    name::Name,
    plan::{Rule, Target},
    scatter::{Action, End, Run, Verdict},
    time::Time,
};

use crate::fixture::{Node, at, entry, gather, rule, sends, service, verdict};

const REST: Duration = Duration::from_secs(2);

fn one() -> Rule {
    rule("one", Target::One(Name::new("one")))
}

fn node(servers: u16) -> Node {
    let entries = (1..=servers).map(|it| entry(it, "one", "a")).collect();
    Node::new(vec![one()], vec![service("one", 0.0)], entries)
}

fn rest(node: &mut Node, number: u16, span: Duration, now: Time) -> bool {
    let id = Name::new(format!("i-{number}"));
    let server = node.balancer.directory().get(&id).expect("the server is known").clone();
    node.balancer.on_resting(&server, span, now)
}

fn pick(node: &mut Node, now: Time) -> Option<Name> {
    let (rule, plan) = (node.rule("one"), node.plan.clone());
    let service = Name::new("one");
    let found = node.balancer.pick(&service, &rule, &plan, &[], Purpose::First, now);
    found.map(|it| it.id.clone())
}

fn start(node: &mut Node, name: &str, now: Time) -> (Run, Vec<Action>) {
    let rule = node.rule(name);
    let mut context = node.context(now);
    let mut run = Run::new(rule, Duration::from_secs(3), &mut context);
    let actions = run.start(&mut context);
    (run, actions)
}

fn retry_after(actions: &[Action]) -> Duration {
    match verdict(actions) {
        Some(Verdict::Refuse(refusal)) => refusal.retry_after,
        other => panic!("a refusal was expected, not {other:?}"),
    }
}

#[test]
fn others_serve() {
    let mut node = node(2);
    assert!(rest(&mut node, 1, REST, at(0)));
    for millis in (0..2_000).step_by(10) {
        assert_eq!(pick(&mut node, at(millis)), Some(Name::new("i-2")));
    }
    let both: Vec<_> = (0..200).filter_map(|it| pick(&mut node, at(4_000 + it))).collect();
    assert!(both.contains(&Name::new("i-1")), "it serves again");
}

/// All servers rest: callers are refused at once, and come back after the first rest, spread over time.
#[test]
fn refused_until_return() {
    let mut node = node(2);
    rest(&mut node, 1, REST * 2, at(0));
    rest(&mut node, 2, REST, at(0));
    let waits: Vec<_> = (0..50).map(|_| retry_after(&start(&mut node, "one", at(0)).1)).collect();
    let (first, last) = (waits.iter().min().copied(), waits.iter().max().copied());
    assert!(first >= Some(REST), "{waits:?}");
    assert!(last <= Some(REST + Duration::from_secs(1)), "{waits:?}");
    assert!(last > first.map(|it| it + Duration::from_millis(300)), "{waits:?}");
}

/// Guards against a refusal that waits for a shard which the answer can leave out.
#[test]
fn unneeded_shard_rests() {
    let shards: Vec<_> = (0..10_u16).map(|it| format!("s{it}")).collect();
    let entries = (0..10_u16).map(|it| entry(it, &shards[usize::from(it)], "a")).collect();
    let services = shards.iter().map(|it| service(it, 0.0)).collect();
    let mut node = Node::new(vec![gather(10, 0.89)], services, entries);
    rest(&mut node, 1, REST * 5, at(0));
    rest(&mut node, 2, REST, at(0));
    let wait = retry_after(&start(&mut node, "all", at(0)).1);
    assert!(wait >= REST && wait <= REST + Duration::from_secs(1), "{wait:?}: nine of ten suffice");
}

#[test]
fn latest_end_kept() {
    let mut node = node(1);
    assert!(rest(&mut node, 1, REST, at(0)));
    assert!(!rest(&mut node, 1, REST / 4, at(100)), "it rests already");
    assert_eq!(pick(&mut node, at(1_900)), None);
    assert_eq!(pick(&mut node, at(2_000)), Some(Name::new("i-1")));
}

/// Guards against a server that is given up for a value that is too large.
#[test]
fn endless_rest() {
    let mut node = node(1);
    rest(&mut node, 1, Duration::MAX, at(0));
    let end = at(0) + MAX_REST;
    assert_eq!(pick(&mut node, at(0) + MAX_REST / 2), None);
    assert_eq!(pick(&mut node, end), Some(Name::new("i-1")));
}

/// Guards against a server that is flooded as soon as its rest is over.
#[test]
fn returns_gradually() {
    let mut node = node(1);
    rest(&mut node, 1, REST, at(0));
    let rule = node.rule("one");
    let mut running = Vec::new();
    for millis in (2_000..3_200).step_by(50) {
        while let Some(id) = pick(&mut node, at(millis)).filter(|_| running.len() < 20) {
            node.balancer.on_sent(&id, &rule, at(millis));
            running.push(millis);
        }
    }
    let until = |end: u64| running.iter().filter(|it| **it < end).count();
    assert_eq!(until(2_050), 1, "{running:?}");
    assert_eq!(until(2_500), 5, "{running:?}");
    assert_eq!(until(3_200), 20, "{running:?}");
}

/// Guards against retries and hedges that reach a server during its rest.
#[test]
fn retried_during_rest() {
    let mut node = node(2);
    rest(&mut node, 1, REST, at(0));
    let (mut run, actions) = start(&mut node, "one", at(10));
    assert_eq!(sends(&actions)[0].server.id, Name::new("i-2"));
    assert_eq!(
        sends(&run.on_timer(&mut node.context(at(150)))),
        [],
        "there is no server to hedge at"
    );
    rest(&mut node, 2, REST, at(160));
    let actions = run.on_end(0, End::Resting, &mut node.context(at(160)));
    assert_eq!(sends(&actions), []);
    assert!(retry_after(&actions) >= REST - Duration::from_millis(160), "it has not run");
}

/// A rest says nothing of the health of a server, and other nodes need not hear of it.
#[test]
fn health_unharmed() {
    let mut node = node(1);
    for call in 0..20 {
        let (mut run, actions) = start(&mut node, "one", at(call * 10));
        assert_eq!(sends(&actions).len(), 1);
        run.on_end(0, End::Resting, &mut node.context(at(call * 10 + 1)));
        run.abandon(false, &mut node.context(at(call * 10 + 1)));
    }
    let id = Name::new("i-1");
    let server = node.balancer.server(&id).expect("the server is known");
    assert!(server.failures(at(300)) == 0.0 && server.slowness(at(300)) == 1.0);
    assert!(!server.is_down(at(300)) && !server.is_cold(at(300)));
    assert!(node.balancer.report(at(300)).is_empty());
}

/// Guards against an entry that lapses and returns, and takes the rest of its process away.
#[test]
fn lapse_during_rest() {
    let mut node = node(1);
    rest(&mut node, 1, REST, at(0));
    node.extend(11, vec![Fact::Gone(Name::new("i-1"))], at(100));
    node.extend(12, vec![Fact::Server(entry(1, "one", "a"))], at(200));
    assert_eq!(pick(&mut node, at(300)), None, "it is the same process");
    let successor = Entry { born: 2, ..entry(1, "one", "a") };
    node.extend(13, vec![Fact::Server(successor)], at(400));
    assert_eq!(pick(&mut node, at(500)), Some(Name::new("i-1")));
    let before = Arc::new(entry(1, "one", "a"));
    assert!(
        !node.balancer.on_resting(&before, REST, at(500)),
        "its predecessor says nothing of it"
    );
}
