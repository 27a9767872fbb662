//! The run of one request: attempts, retries, hedges and the final answer.

use std::time::Duration;

use mimosabridge::{
    balance::Observation,
    feed::Fact,
    name::Name,
    plan::{Rule, Target},
    scatter::{Attempt, End, Failure, Run, Verdict},
};
use rstest::rstest;

use crate::fixture::{Node, at, entry, gather, once, rule, sends, service, verdict};

const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

fn single(rule: Rule) -> Node {
    let entries = (1..=3).map(|it| entry(it, "one", "a")).collect();
    Node::new(vec![rule], vec![service("one", 0.0)], entries)
}

fn sharded(shards: usize, least: f64) -> Node {
    let mut entries = Vec::new();
    let mut services = Vec::new();
    for shard in 0..shards {
        let name = format!("s{shard}");
        services.push(service(&name, 0.0));
        entries.extend((0..3).map(|it| entry((shard * 3 + it) as u16, &name, "a")));
    }
    Node::new(vec![gather(shards, least)], services, entries)
}

fn start(node: &mut Node, name: &str) -> (Run, Vec<Attempt>) {
    let rule = node.rule(name);
    let mut context = node.context(at(0));
    let mut run = Run::new(rule, CALLER_TIMEOUT, &mut context);
    let actions = run.start(&mut context);
    assert_eq!(verdict(&actions), None);
    (run, sends(&actions))
}

#[test]
fn complete_answer() {
    let mut node = sharded(4, 0.75);
    let (mut run, attempts) = start(&mut node, "all");
    assert_eq!(attempts.len(), 4, "one attempt for each shard");
    let mut last = Vec::new();
    for attempt in &attempts {
        last = run.on_end(attempt.number, End::Served, &mut node.context(at(20)));
    }
    let expected = Verdict::Merge { attempts: vec![0, 1, 2, 3], missing: 0 };
    assert_eq!(verdict(&last), Some(expected));
}

#[test]
fn partial_at_objective() {
    let mut node = sharded(4, 0.75);
    let (mut run, attempts) = start(&mut node, "all");
    for attempt in &attempts[..3] {
        let actions = run.on_end(attempt.number, End::Served, &mut node.context(at(20)));
        assert_eq!(verdict(&actions), None, "the fourth shard may still answer");
    }
    run.on_timer(&mut node.context(at(100)));
    let actions = run.on_timer(&mut node.context(at(188)));
    let expected = Verdict::Merge { attempts: vec![0, 1, 2], missing: 1 };
    assert_eq!(verdict(&actions), Some(expected));
}

#[test]
fn waits_for_minimum() {
    let mut node = sharded(4, 0.75);
    let (mut run, attempts) = start(&mut node, "all");
    for attempt in &attempts[..2] {
        run.on_end(attempt.number, End::Served, &mut node.context(at(20)));
    }
    assert_eq!(verdict(&run.on_timer(&mut node.context(at(190)))), None);
    let actions = run.on_end(attempts[2].number, End::Served, &mut node.context(at(900)));
    assert!(matches!(verdict(&actions), Some(Verdict::Merge { missing: 1, .. })));
}

#[test]
fn hedge_elsewhere() {
    let mut node = single(rule("one", Target::One(Name::new("one"))));
    let (mut run, first) = start(&mut node, "one");
    let due = run.next_timer(at(1));
    assert!(due < at(100), "the hedge is sent well before the objective");
    let hedge = sends(&run.on_timer(&mut node.context(due)));
    assert_eq!(hedge.len(), 1);
    assert!(hedge[0].is_hedge && hedge[0].server.id != first[0].server.id);
    let later = sends(&run.on_timer(&mut node.context(at(190))));
    assert!(later.is_empty(), "the rule allows two servers");
    let actions = run.on_end(hedge[0].number, End::Served, &mut node.context(at(190)));
    assert_eq!(verdict(&actions), Some(Verdict::Pass(hedge[0].number)));
}

#[rstest]
#[case::broken(End::Broken)]
#[case::invalid(End::Invalid)]
#[case::failed(End::Failed)]
#[case::silent(End::Silent)]
fn once_never_repeated(#[case] end: End) {
    let mut node = single(once());
    let (mut run, first) = start(&mut node, "once");
    assert!(sends(&run.on_timer(&mut node.context(at(180)))).is_empty(), "no hedge");
    let actions = run.on_end(first[0].number, end, &mut node.context(at(190)));
    assert!(sends(&actions).is_empty());
    let verdict = verdict(&actions);
    let is_final = matches!(verdict, Some(Verdict::Fail(_) | Verdict::Pass(_)));
    assert!(is_final, "{verdict:?} does not claim that the request did not run");
}

#[rstest]
#[case::shed(End::Shed)]
#[case::misdirected(End::Misdirected)]
#[case::unsent(End::Unsent)]
fn not_run_retried(#[case] end: End) {
    let mut node = single(once());
    let (mut run, first) = start(&mut node, "once");
    let again = sends(&run.on_end(first[0].number, end, &mut node.context(at(5))));
    assert_eq!(again.len(), 1, "the request did not run, so it may be sent again");
    let actions = run.on_end(again[0].number, End::Served, &mut node.context(at(30)));
    assert_eq!(verdict(&actions), Some(Verdict::Pass(again[0].number)));
}

#[test]
fn missing_shards_refused() {
    let mut node = sharded(4, 0.75);
    let gone = (0..6).map(|it| Fact::Gone(entry(it, "s0", "a").id)).collect();
    node.extend(11, gone, at(0));
    let rule = node.rule("all");
    let mut context = node.context(at(0));
    let mut run = Run::new(rule, CALLER_TIMEOUT, &mut context);
    let actions = run.start(&mut context);
    assert!(matches!(verdict(&actions), Some(Verdict::Refuse(_))));
    assert!(sends(&actions).is_empty(), "work of the other shards would be wasted");
}

/// Records answers of the servers of a shard that are too slow for the objective.
fn slow_down(node: &mut Node, shard: usize) {
    let rule = node.rule("all");
    for server in (shard * 3)..(shard * 3 + 3) {
        let id = entry(server as u16, "", "a").id;
        for _ in 0..3 {
            node.balancer.on_sent(&id, &rule, at(0));
            let sent = at(0);
            let seen = Observation::Served;
            node.balancer.on_end(&id, &rule, sent, seen, Duration::ZERO, at(2_000));
        }
    }
}

/// When many servers are slow, a shard can have slow ones only. Requests that could be answered
/// without that shard used capacity that requests for that shard needed.
#[test]
fn slow_shard_left_out() {
    let mut node = sharded(4, 0.75);
    slow_down(&mut node, 0);
    let rule = node.rule("all");
    let mut context = node.context(at(2_001));
    let mut run = Run::new(rule, CALLER_TIMEOUT, &mut context);
    let attempts = sends(&run.start(&mut context));
    let services: Vec<_> = attempts.iter().map(|it| it.server.service.as_str()).collect();
    assert_eq!(services, ["s1", "s2", "s3"]);
    let mut last = Vec::new();
    for attempt in &attempts {
        last = run.on_end(attempt.number, End::Served, &mut node.context(at(2_020)));
    }
    assert!(matches!(verdict(&last), Some(Verdict::Merge { missing: 1, .. })));
}

#[test]
fn slow_shard_still_needed() {
    let mut node = sharded(4, 1.0);
    slow_down(&mut node, 0);
    let rule = node.rule("all");
    let mut context = node.context(at(2_001));
    let mut run = Run::new(rule, CALLER_TIMEOUT, &mut context);
    assert_eq!(
        sends(&run.start(&mut context)).len(),
        4,
        "the rule needs every shard, even a slow one"
    );
}

#[test]
fn full_shard_refused() {
    let mut node = sharded(4, 1.0);
    let rule = node.rule("all");
    for server in 0..3 {
        let id = entry(server, "", "a").id;
        for _ in 0..46 {
            node.balancer.on_sent(&id, &rule, at(0));
        }
    }
    for _ in 0..3 * 46 {
        node.balancer.on_waiting(&Name::new("s0"));
    }
    let mut context = node.context(at(1));
    let mut run = Run::new(rule, CALLER_TIMEOUT, &mut context);
    let actions = run.start(&mut context);
    assert!(
        matches!(verdict(&actions), Some(Verdict::Refuse(_))),
        "no request is sent to the other shards"
    );
}

#[test]
fn fails_at_timeout() {
    let mut node = single(Rule { timeout: Duration::from_millis(900), ..once() });
    let (mut run, _) = start(&mut node, "once");
    let actions = run.on_timer(&mut node.context(at(900)));
    assert_eq!(verdict(&actions), Some(Verdict::Fail(Failure::TimedOut)));
}

#[test]
fn late_answer_ignored() {
    let mut node = single(Rule { timeout: Duration::from_millis(900), ..once() });
    let (mut run, first) = start(&mut node, "once");
    run.on_timer(&mut node.context(at(900)));
    let actions = run.on_end(first[0].number, End::Served, &mut node.context(at(950)));
    assert!(actions.is_empty(), "the caller has its final answer");
}

#[test]
fn deadline_passed_on() {
    let mut node = single(once());
    let (_, first) = start(&mut node, "once");
    assert!(first[0].budget <= CALLER_TIMEOUT, "at most the time that the caller allows");
    assert!(first[0].budget > CALLER_TIMEOUT - Duration::from_millis(100));
}

/// Guards against a stopping node that ends without the answers to requests under way.
#[test]
fn cut_short_unanswered() {
    let mut node = single(once());
    let (mut run, attempts) = start(&mut node, "once");
    assert_eq!(attempts.len(), 1);
    let actions = run.cut_short(&mut node.context(at(5)));
    assert_eq!(verdict(&actions), Some(Verdict::Fail(Failure::TimedOut)), "it may have run");

    let mut node = sharded(4, 0.75);
    let (mut run, attempts) = start(&mut node, "all");
    for attempt in &attempts[..3] {
        run.on_end(attempt.number, End::Served, &mut node.context(at(3)));
    }
    let actions = run.cut_short(&mut node.context(at(5)));
    let expected = Verdict::Merge { attempts: vec![0, 1, 2], missing: 1 };
    assert_eq!(verdict(&actions), Some(expected), "enough shards have answered");
    assert_eq!(run.cut_short(&mut node.context(at(6))), [], "there is one final answer");
}
