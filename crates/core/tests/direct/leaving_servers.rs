//! Servers that say in their answers that they leave.

use std::{sync::Arc, time::Duration};

use mimosabridge::{
    balance::Purpose,
    directory::Entry,
    feed::{Fact, Position, Snapshot},
    name::Name,
    plan::{Limits, Rule, Spec, Target},
    scatter::{Action, Attempt, End, Run, Verdict},
    time::Time,
};
use rstest::rstest;

use crate::fixture::{Node, at, entry, gather, rule, sends, service, verdict};

/// The drain time is 3 s; a leaving server gets nothing in its last tenth.
const LAST_USE: u64 = 2_600;
const BOUND: u64 = 2_700;

fn one() -> Rule {
    rule("one", Target::One(Name::new("one")))
}

fn node(servers: u16) -> Node {
    let entries = (1..=servers).map(|it| entry(it, "one", "a")).collect();
    Node::new(vec![one()], vec![service("one", 0.0)], entries)
}

fn known(node: &Node, number: u16) -> Arc<Entry> {
    let id = Name::new(format!("i-{number}"));
    node.balancer.directory().get(&id).expect("the server is known").clone()
}

fn leave(node: &mut Node, number: u16, now: Time) -> bool {
    let server = known(node, number);
    node.balancer.on_leaving(&server, now)
}

fn pick(node: &mut Node, tried: &[Name], now: Time) -> Option<Name> {
    let (rule, plan) = (node.rule("one"), node.plan.clone());
    let service = Name::new("one");
    let found = node.balancer.pick(&service, &rule, &plan, tried, Purpose::First, now);
    found.map(|it| it.id.clone())
}

fn start(node: &mut Node, now: Time) -> (Run, Vec<Action>) {
    let rule = node.rule("one");
    let mut context = node.context(now);
    let mut run = Run::new(rule, Duration::from_secs(3), &mut context);
    let actions = run.start(&mut context);
    (run, actions)
}

/// Others serve as soon as the word is known, not only when the drain time is over.
#[test]
fn others_first() {
    let mut node = node(3);
    assert!(leave(&mut node, 1, at(0)));
    assert!(!leave(&mut node, 1, at(500)), "it is known already");
    for millis in 0..200 {
        assert_ne!(pick(&mut node, &[], at(millis * 20)), Some(Name::new("i-1")));
    }
    let others = [Name::new("i-2"), Name::new("i-3")];
    assert_eq!(pick(&mut node, &others, at(LAST_USE)), Some(Name::new("i-1")), "no other can");
    assert_eq!(pick(&mut node, &others, at(BOUND)), None);
}

/// Guards against a word that is taken for newer the second time it comes.
#[test]
fn bound_from_first() {
    let mut node = node(1);
    leave(&mut node, 1, at(0));
    leave(&mut node, 1, at(2_000));
    assert_eq!(pick(&mut node, &[], at(BOUND)), None);
}

/// All servers leave: they serve until the bound, then requests are refused at once.
#[test]
fn all_leave() {
    let mut node = node(2);
    leave(&mut node, 1, at(0));
    leave(&mut node, 2, at(0));
    assert_eq!(sends(&start(&mut node, at(LAST_USE)).1).len(), 1);
    let (_, actions) = start(&mut node, at(BOUND));
    assert!(matches!(verdict(&actions), Some(Verdict::Refuse(_))), "{actions:?}");
}

/// Guards against retries and hedges that reach a server after the bound.
#[test]
fn retried_after_bound() {
    let mut node = node(2);
    leave(&mut node, 1, at(0));
    let (mut run, actions) = start(&mut node, at(LAST_USE));
    assert_eq!(sends(&actions)[0].server.id, Name::new("i-2"));
    let hedged = run.on_timer(&mut node.context(at(BOUND + 100)));
    assert_eq!(sends(&hedged), [], "the other server has left");
    let retried = run.on_end(0, End::Unsent, &mut node.context(at(BOUND + 110)));
    assert!(sends(&retried).iter().all(|it| it.server.id != Name::new("i-1")));
}

/// Guards against hedges to a server that leaves: another one has the request already.
#[rstest]
#[case::stays(false)]
#[case::leaves(true)]
fn leaving_server_hedged(#[case] leaves: bool) {
    let mut node = node(2);
    let (mut run, actions) = start(&mut node, at(0));
    let first = sends(&actions)[0].server.clone();
    let other = if first.id == Name::new("i-1") { 2 } else { 1 };
    if leaves {
        leave(&mut node, other, at(1));
    }
    let due = run.next_timer(at(1));
    let hedges = sends(&run.on_timer(&mut node.context(due)));
    assert_eq!(hedges.is_empty(), leaves, "{hedges:?}");
    let retried = run.on_end(0, End::Unsent, &mut node.context(due));
    assert_eq!(sends(&retried).is_empty(), !leaves, "no other can take a retry: {retried:?}");
}

/// Guards against older views of the store that undo the word of a server.
#[test]
fn older_list_undone() {
    let mut node = node(2);
    leave(&mut node, 1, at(0));
    let spec = |version| {
        let (rules, services) = (vec![one()], vec![service("one", 0.0)]);
        Fact::Plan(Spec { version, limits: Limits::default(), rules, services })
    };
    node.extend(11, vec![Fact::Gone(Name::new("i-1"))], at(100));
    node.extend(12, vec![Fact::Server(entry(1, "one", "a"))], at(200));
    let restored = vec![spec(2), Fact::Server(entry(1, "one", "a"))];
    let snapshot = Snapshot { position: Position::new(1, 5), facts: restored };
    node.mirror.replace(snapshot, &mut node.balancer, at(300));
    node.extend(13, vec![Fact::Server(entry(1, "one", "a"))], at(400));
    let others = [Name::new("i-2")];
    assert_eq!(pick(&mut node, &others, at(BOUND)), None, "it is the same process");

    let successor = Entry { born: 2, ..entry(1, "one", "a") };
    node.balancer.on_leaving(&Arc::new(successor.clone()), at(BOUND));
    node.balancer.on_leaving(&Arc::new(entry(1, "one", "a")), at(BOUND));
    assert!(node.balancer.is_leaving(&successor), "late answers of its predecessor say nothing");
}

/// A new process under the same id has said nothing.
#[test]
fn successor_serves() {
    let mut node = node(1);
    leave(&mut node, 1, at(0));
    let successor = Entry { born: 2, ..entry(1, "one", "a") };
    node.extend(11, vec![Fact::Server(successor)], at(3_000));
    assert_eq!(pick(&mut node, &[], at(3_100)), Some(Name::new("i-1")));

    // Without a start time, the removal tells a process from the next.
    let unborn = Entry { born: 0, ..entry(2, "one", "a") };
    node.extend(12, vec![Fact::Server(unborn.clone())], at(3_200));
    leave(&mut node, 2, at(3_300));
    node.extend(13, vec![Fact::Gone(Name::new("i-2"))], at(3_400));
    node.extend(14, vec![Fact::Server(unborn)], at(7_000));
    assert_eq!(pick(&mut node, &[Name::new("i-1")], at(7_100)), Some(Name::new("i-2")));
}

/// All servers of a shard leave: after the bound the answer lacks the shard, or is refused at once if it
/// lacks too many.
#[test]
fn shard_left_out() {
    let shards: Vec<_> = (0..10_u16).map(|it| format!("s{it}")).collect();
    let entries = (0..10_u16).map(|it| entry(it, &shards[usize::from(it)], "a")).collect();
    let services = shards.iter().map(|it| service(it, 0.0)).collect();
    let mut node = Node::new(vec![gather(10, 0.89)], services, entries);
    let start = |node: &mut Node, now| {
        let rule = node.rule("all");
        let mut context = node.context(now);
        let mut run = Run::new(rule, Duration::from_secs(3), &mut context);
        let actions = run.start(&mut context);
        (run, actions)
    };
    leave(&mut node, 1, at(0));
    assert_eq!(sends(&start(&mut node, at(LAST_USE)).1).len(), 10);
    let (mut run, actions) = start(&mut node, at(BOUND));
    let attempts = sends(&actions);
    assert_eq!(attempts.len(), 9);
    let end = |it: &Attempt| run.on_end(it.number, End::Served, &mut node.context(at(BOUND + 20)));
    let actions: Vec<_> = attempts.iter().flat_map(end).collect();
    let attempts = (0..9).collect();
    assert_eq!(verdict(&actions), Some(Verdict::Merge { attempts, missing: 1 }));

    leave(&mut node, 2, at(0));
    let (_, actions) = start(&mut node, at(BOUND));
    assert!(matches!(verdict(&actions), Some(Verdict::Refuse(_))), "{actions:?}");
}
