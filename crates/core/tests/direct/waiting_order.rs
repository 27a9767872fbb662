//! The order in which requests that wait get the connections of their node.

use std::time::Duration;

use mimosabridge::{
    balance::{Observation, Waiter},
    name::Name,
    plan::{Service, Target},
    scatter::{End, Refusal, Verdict},
};

use crate::{
    fixture::{Node, at, entry, gather, rule, service},
    model::Callers,
};

/// The nodes of a fleet so large that each has one connection to a server.
const NODES: u32 = 40;

/// How long callers wait.
const PATIENT: Duration = Duration::from_secs(2);

/// Returns one of `nodes` nodes, with two servers of one connection each.
fn node(nodes: u32) -> Node {
    let target = Target::One("one".into());
    let entries = (1..=2).map(|it| entry(it, "one", "a")).collect();
    let service = Service { connections: nodes, ..service("one", 0.0) };
    let mut node = Node::new(vec![rule("one", target)], vec![service], entries);
    node.balancer.set_nodes(nodes);
    node
}

/// Returns the callers of a node whose servers take 27 ms.
fn callers() -> Callers {
    Callers::new(node(NODES), Duration::from_millis(27))
}

/// Returns the callers of a node that has hedges left, which are few in a large fleet. One of the callers
/// has a hedge due while another one, which arrived later, waits for the connection that is free. Returns
/// the two, too.
fn hedge_due() -> (Callers, usize, usize) {
    let mut callers = Callers::new(node(2), Duration::from_millis(27));
    let hedging = callers.arrive("one", PATIENT, 0);
    let other = callers.arrive("one", PATIENT, 0);
    let waiting = callers.arrive("one", PATIENT, 40);
    let number = callers.all[other].attempts[0].number;
    callers.end_without_wake(other, number, End::Served, 67);
    callers.run_timer(hedging, 67);
    (callers, hedging, waiting)
}

fn is_refused(verdict: Option<&(u64, Verdict)>) -> bool {
    matches!(verdict, Some((_, Verdict::Refuse(Refusal { .. }))))
}

/// Guards against connections that are free while callers wait for them.
#[test]
fn sent_at_once() {
    let mut callers = callers();
    let busy: Vec<_> = [0, 10].map(|it| callers.arrive("one", PATIENT, it)).into();
    let earlier = callers.arrive("one", PATIENT, 11);
    let later = callers.arrive("one", PATIENT, 13);
    for millis in 14..=100 {
        callers.step(millis);
    }
    for index in busy.into_iter().chain([earlier, later]) {
        assert!(!is_refused(callers.all[index].ended.as_ref()), "{index}");
    }
    let served = |it: usize| callers.all[it].ended.as_ref().map(|it| it.0);
    assert_eq!(served(earlier), Some(54), "it was sent when the first answer had come, at 27 ms");
    assert_eq!(served(later), Some(64), "it was sent when the second answer had come, at 37 ms");
}

/// Guards against a later caller that gets the connection for which an earlier one waits.
#[test]
fn later_one_waits() {
    let mut callers = Callers::new(node(NODES), Duration::from_millis(60));
    let busy = callers.arrive("one", PATIENT, 10);
    callers.arrive("one", PATIENT, 10);
    let earlier = callers.arrive("one", PATIENT, 11);
    let later = callers.arrive("one", PATIENT, 13);
    (14..37).for_each(|it| callers.step(it));
    let number = callers.all[busy].attempts[0].number;
    callers.end_without_wake(busy, number, End::Served, 37);
    callers.all[busy].attempts.clear();
    (37..=40).for_each(|it| callers.step(it));
    let sent = |it: usize| callers.all[it].attempts.len();
    assert_eq!((sent(earlier), sent(later)), (1, 0));
}

/// A request whose answer would come too late is passed over and refused, as not run.
#[test]
fn late_one_passed_over() {
    let mut callers = Callers::new(node(NODES), Duration::from_millis(60));
    callers.arrive("one", PATIENT, 0);
    callers.arrive("one", PATIENT, 0);
    let one = callers.node.rule("one");
    let usual = callers.node.balancer.usual_latency(&one);
    // The usual time is left until 45 ms. A connection is expected by then, but is free at 60 ms.
    let urgent = callers.arrive("one", usual + Duration::from_millis(15 + 20), 25);
    let patient = callers.arrive("one", PATIENT, 26);
    (27..=200).for_each(|it| callers.step(it));
    assert!(is_refused(callers.all[urgent].ended.as_ref()), "{:?}", callers.all[urgent].ended);
    assert_eq!(callers.all[urgent].ended.as_ref().map(|it| it.0), Some(45));
    assert_eq!(callers.all[patient].ended.as_ref().map(|it| it.0), Some(120), "sent at 60 ms");
}

/// Guards against a wait after which the answer would come late: while the servers are slow it keeps their
/// connections from callers that can be served in time.
#[test]
fn slow_servers_not_waited_for() {
    let mut node = node(NODES);
    let one = node.rule("one");
    for number in 1..=2 {
        for millis in [0, 400, 800, 1_200, 1_600] {
            let (id, served) = (Name::new(format!("i-{number}")), Observation::Served);
            node.balancer.on_sent(&id, &one, at(millis));
            let end = at(millis + 390);
            node.balancer.on_end(&id, &one, at(millis), served, Duration::ZERO, end);
        }
    }
    let slowness = node.balancer.server(&"i-1".into()).expect("it is known").slowness(at(2_000));
    let expected = node.balancer.usual_latency(&one).mul_f64(slowness).as_millis() as u64;
    assert!(expected > 200, "the servers are slower than the objective");
    let mut callers = Callers::new(node, Duration::from_millis(expected));
    let sent = [2_000, 2_000].map(|it| callers.arrive("one", PATIENT, it));
    assert!(sent.iter().all(|it| callers.all[*it].attempts.len() == 1), "late, but served");
    let soon = 2_000 + expected - 20;
    let waiting = callers.arrive("one", PATIENT, soon);
    assert!(is_refused(callers.all[waiting].ended.as_ref()), "its answer would come late");
}

/// A part of an answer that would come after the answer is passed over, and waits on.
#[test]
fn late_part_passed_over() {
    let services = (0..2).map(|it| service(&format!("s{it}"), 0.0)).collect();
    let entries = (0..2).map(|it| entry(it, &format!("s{it}"), "a")).collect();
    let mut node = Node::new(vec![gather(2, 0.5)], services, entries);
    node.balancer.set_nodes(NODES);
    let all = node.rule("all");
    let soft = 200 - 16;
    let usual = node.balancer.usual_latency(&all).as_millis() as u64;
    node.balancer.on_sent(&"i-0".into(), &all, at(0));
    let mut callers = Callers::new(node, Duration::from_millis(1_000));
    let early = callers.arrive("all", PATIENT, 1);
    let waiter = Waiter { run: 1_000, shard: 0 };
    let service = "s0".into();
    let Callers { node, .. } = &mut callers;
    node.balancer.enter_queue(&service, waiter, at(2_000));
    let called = |node: &mut Node, millis| node.balancer.called(&node.plan, at(millis));
    let served = Observation::Served;
    node.balancer.on_end(&"i-0".into(), &all, at(0), served, Duration::ZERO, at(20));
    assert_eq!(called(node, soft - usual), [1], "the older one, with time for its answer");
    assert_eq!(called(node, soft + 2 - usual), [1_000], "the answer is due before its part");
    node.balancer.leave_queue(&service, waiter);
    assert_eq!(called(node, soft + 2 - usual), [1], "nobody else needs the connection");
    assert_eq!(callers.all[early].attempts.len(), 1);
}

/// Guards against a wake-up that is lost because the request that was woken has ended.
#[test]
fn woken_one_leaves() {
    let mut callers = callers();
    let first = callers.arrive("one", PATIENT, 0);
    callers.arrive("one", PATIENT, 0);
    let leaving = callers.arrive("one", PATIENT, 1);
    let next = callers.arrive("one", PATIENT, 2);
    let number = callers.all[first].attempts[0].number;
    callers.end_without_wake(first, number, End::Served, 20);
    callers.leave(leaving, 20);
    assert_eq!(callers.all[next].attempts.len(), 1, "it is sent at once");
}

/// Guards against a hedge that takes the connection for which a caller waits.
#[test]
fn hedge_waits() {
    let (mut callers, hedging, waiting) = hedge_due();
    assert_eq!(callers.all[hedging].attempts.len(), 1, "a request that waits needs the connection");
    callers.wake(67);
    assert_eq!(callers.all[waiting].attempts.len(), 1);
}

/// Guards against a hedge that is never sent because a caller waited when it was due.
#[test]
fn hedge_sent_later() {
    let (mut callers, hedging, waiting) = hedge_due();
    callers.wake(67);
    let number = callers.all[waiting].attempts[0].number;
    callers.end_without_wake(waiting, number, End::Served, 80);
    callers.run_timer(hedging, 92);
    assert_eq!(callers.all[hedging].attempts.len(), 2, "nobody waits any more");
}

/// Guards against a request that is passed over because the time for which its server is down counts
/// twice.
#[test]
fn down_time_counted_once() {
    let services = (0..2).map(|it| service(&format!("s{it}"), 0.0)).collect();
    let entries = (0..2).map(|it| entry(it, &format!("s{it}"), "a")).collect();
    let mut node = Node::new(vec![gather(2, 0.5)], services, entries);
    node.balancer.set_nodes(NODES);
    let mut callers = Callers::new(node, Duration::from_millis(1_000));
    let earlier = callers.arrive("all", PATIENT, 0);
    let numbers: Vec<_> = callers.all[earlier].attempts.drain(..).map(|it| it.number).collect();
    callers.end_without_wake(earlier, numbers[0], End::Unsent, 3);
    callers.end_without_wake(earlier, numbers[1], End::Served, 20);
    callers.arrive("all", PATIENT, 50);
    let Node { balancer, plan, .. } = &mut callers.node;
    let down_until = balancer.server(&"i-0".into()).expect("it is known").down_until();
    assert!(down_until > at(100), "it is not tried at once");
    assert_eq!(balancer.called(plan, down_until), [1], "the older one would be answered in time");
}
