//! Requests that find all connections of their node in use.
//!
//! Load pattern: of many nodes, each may open few connections to a server. Callers that reach one node
//! together were refused while an attempt that nobody needed any more held a connection.

use std::time::Duration;

use mimosabridge::{
    plan::Target,
    scatter::{Attempt, End, Run, Verdict},
    time::Time,
};
use rstest::rstest;

use crate::fixture::{Node, at, entry, gather, rule, sends, service, verdict};

/// The nodes that share the 46 connections of a server, so that each has two.
const NODES: u32 = 16;

/// How long a server works on a request, in milliseconds.
const WORK_MILLIS: u64 = 20;

fn node() -> Node {
    let target = Target::One("one".into());
    let entries = (1..=2).map(|it| entry(it, "one", "a")).collect();
    let mut node = Node::new(vec![rule("one", target)], vec![service("one", 0.0)], entries);
    node.balancer.set_nodes(NODES);
    node
}

fn start(node: &mut Node, name: &str, millis: u64) -> (Run, Vec<Attempt>, Option<Verdict>) {
    let rule = node.rule(name);
    let mut context = node.context(at(millis));
    let mut run = Run::new(rule, Duration::from_secs(2), &mut context);
    let actions = run.start(&mut context);
    (run, sends(&actions), verdict(&actions))
}

/// How the requests of callers that arrive together end.
#[derive(Debug, Default)]
struct Outcome {
    /// When each served caller was answered, in milliseconds.
    served: Vec<u64>,
    /// When each refused caller was refused, in milliseconds.
    refused: Vec<u64>,
    /// The longest time that a request spent at the node before it was refused, in milliseconds.
    longest_refused: u64,
}

/// Replays callers that arrive at these times, at two servers with two connections each.
fn replay(node: &mut Node, arrivals: &[u64]) -> Outcome {
    let mut outcome = Outcome::default();
    let mut runs: Vec<(u64, Run, Vec<Attempt>, Time)> = Vec::new();
    for millis in 0..2_000 {
        for _ in arrivals.iter().filter(|it| **it == millis) {
            let (run, attempts, verdict) = start(node, "one", millis);
            match verdict {
                Some(Verdict::Refuse(_)) => outcome.refused.push(millis),
                _ => {
                    let next = run.next_timer(at(millis));
                    runs.push((millis, run, attempts, next));
                }
            }
        }
        for (arrived, run, attempts, next) in &mut runs {
            let now = at(millis);
            let is_done = |it: &mut Attempt| it.sent + Duration::from_millis(WORK_MILLIS) <= now;
            let mut actions = Vec::new();
            for done in attempts.extract_if(.., is_done).collect::<Vec<_>>() {
                actions.extend(run.on_end(done.number, End::Served, &mut node.context(now)));
            }
            if *next <= now {
                actions.extend(run.on_timer(&mut node.context(now)));
            }
            if !actions.is_empty() || *next <= now {
                *next = run.next_timer(now);
            }
            attempts.extend(sends(&actions));
            match verdict(&actions) {
                Some(Verdict::Refuse(_)) => {
                    outcome.refused.push(millis);
                    outcome.longest_refused = outcome.longest_refused.max(millis - *arrived);
                }
                Some(_) => outcome.served.push(millis),
                None => {}
            }
        }
    }
    outcome
}

/// Guards against a refusal of a caller while a hedge of a request that was answered long ago holds
/// the last connection.
#[test]
fn leftover_hedge() {
    let mut node = node();
    let one = node.rule("one");
    node.balancer.on_sent(&"i-1".into(), &one, at(0));
    let outcome = replay(&mut node, &[1, 1, 1, 1]);
    assert_eq!(outcome.served.len(), 4, "{outcome:?}");
}

/// A burst that the node can serve within the time in which requests must reach a server.
#[rstest]
#[case(6)]
#[case(8)]
fn short_burst(#[case] callers: usize) {
    let outcome = replay(&mut node(), &vec![1; callers]);
    assert_eq!(outcome.served.len(), callers, "{outcome:?}");
}

/// A burst of which a part can't be served in time: that part is refused as it arrives, and all
/// others are served.
#[test]
fn long_burst() {
    let outcome = replay(&mut node(), &[1; 60]);
    assert!(outcome.served.len() >= 8, "{outcome:?}");
    assert!(outcome.refused.iter().filter(|it| **it == 1).count() >= 40, "{outcome:?}");
    assert_eq!(outcome.served.len() + outcome.refused.len(), 60, "{outcome:?}");
    assert!(outcome.longest_refused <= 50, "a quarter of the objective: {outcome:?}");
}

/// Guards against a caller that takes the connection for which others wait.
#[test]
fn no_overtaking() {
    let mut node = node();
    let runs: Vec<_> = (0..5).map(|_| start(&mut node, "one", 0)).collect();
    let (mut first, attempts, _) = runs.into_iter().next().expect("there are five");
    first.on_end(attempts[0].number, End::Served, &mut node.context(at(20)));
    let (_, sent, verdict) = start(&mut node, "one", 21);
    assert!(sent.is_empty() && verdict.is_none(), "the fifth one waits since 0 ms");
}

/// Requests that end while they wait leave nothing behind.
#[test]
fn waiting_forgotten() {
    let mut node = node();
    let runs: Vec<_> = (0..8).map(|_| start(&mut node, "one", 0).0).collect();
    for mut run in runs {
        run.abandon(false, &mut node.context(at(1)));
    }
    let (_, sent, _) = start(&mut node, "one", 2);
    assert_eq!(sent.len(), 1);
}

/// Guards against an answer without the shards whose connections are in use for a moment.
#[test]
fn full_shard_waits() {
    let services = (0..2).map(|it| service(&format!("s{it}"), 0.0)).collect();
    let entries = (0..2).map(|it| entry(it, &format!("s{it}"), "a")).collect();
    let mut node = Node::new(vec![gather(2, 0.5)], services, entries);
    node.balancer.set_nodes(40);
    let all = node.rule("all");
    node.balancer.on_sent(&"i-0".into(), &all, at(0));
    let (mut run, sent, _) = start(&mut node, "all", 1);
    assert_eq!(sent.len(), 1, "one of the shards has a free connection");
    let observation = mimosabridge::balance::Observation::Served;
    node.balancer.on_end(&"i-0".into(), &all, at(0), observation, Duration::ZERO, at(20));
    let actions = run.on_timer(&mut node.context(at(26)));
    assert_eq!(sends(&actions).len(), 1);
}

/// A refused caller is told to return when those before it are served.
#[test]
fn returns_after_others() {
    let mut node = node();
    let least = node.rule("one").objective / 8;
    let retry_after = |(_, _, verdict): (Run, Vec<Attempt>, Option<Verdict>)| match verdict {
        Some(Verdict::Refuse(refusal)) => Some(refusal.retry_after),
        _ => None,
    };
    let last = (0..60).filter_map(|_| retry_after(start(&mut node, "one", 0))).last();
    assert!(last.is_some_and(|it| it > least), "{last:?}");
}
