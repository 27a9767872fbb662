//! A content that may crash servers is tried on one server first.

use std::time::Duration;

use mimosabridge::scatter::{Attempt, End, Failure, Run, Verdict};

use crate::fixture::{Node, at, entry, gather, sends, service, verdict};

const SHARDS: usize = 4;

fn start(node: &mut Node) -> (Run, Vec<Attempt>) {
    let rule = node.rule("all");
    let mut context = node.context(at(0));
    let run = Run::new(rule, Duration::from_secs(3), &mut context);
    let mut run = run.with_canary();
    let actions = run.start(&mut context);
    (run, sends(&actions))
}

fn node() -> Node {
    let name = |shard: usize| format!("s{shard}");
    let entries = (0..SHARDS * 3).map(|it| entry(it as u16, &name(it / 3), "a")).collect();
    let services = (0..SHARDS).map(|it| service(&name(it), 0.0)).collect();
    Node::new(vec![gather(SHARDS, 0.5)], services, entries)
}

#[test]
fn answer_releases() {
    let mut node = node();
    let (mut run, attempts) = start(&mut node);
    assert_eq!(attempts.len(), 1);
    assert!(sends(&run.on_timer(&mut node.context(at(60)))).is_empty(), "no hedge");
    let actions = run.on_end(0, End::Served, &mut node.context(at(70)));
    assert_eq!(sends(&actions).len(), SHARDS - 1);
    let actions = run.on_end(1, End::Broken, &mut node.context(at(80)));
    assert_eq!(sends(&actions).len(), 1, "later attempts are retried");
}

#[test]
fn loss_ends() {
    for end in [End::Broken, End::Silent, End::Invalid, End::Failed] {
        let mut node = node();
        let (mut run, _) = start(&mut node);
        let actions = run.on_end(0, end, &mut node.context(at(10)));
        assert!(sends(&actions).is_empty(), "{end:?}");
        assert_eq!(verdict(&actions), Some(Verdict::Fail(Failure::Broken)), "{end:?}");
    }
}

/// A server that did not run the request shows nothing.
#[test]
fn refusal_retried() {
    for end in [End::Unsent, End::Misdirected] {
        let mut node = node();
        let (mut run, attempts) = start(&mut node);
        let mut actions = run.on_end(0, end, &mut node.context(at(10)));
        for millis in (20..100).step_by(10) {
            actions.extend(run.on_timer(&mut node.context(at(millis))));
        }
        let next = sends(&actions);
        assert_eq!(next.len(), 1, "{end:?}");
        assert_ne!(next[0].server.id, attempts[0].server.id, "{end:?}");
    }
}
