//! Contents that end servers whose end cannot be seen, or looks like something else.
//!
//! The users allow three sends later than 4 s after a content has ended three servers.

use std::time::{Duration, Instant};

use rstest::rstest;
use tokio::time::{sleep, timeout};

use crate::env::{Behavior, Node, Server, Trace, ask, request, run};

/// How long after the third end the sends are not limited.
const STABLE_TIME: Duration = Duration::from_secs(4);

/// The ends that are allowed after that time.
const MAX_LATE_ENDS: usize = 3;

/// How long the content comes again and again.
const TEST_TIME: Duration = Duration::from_secs(11);

/// How long the caller of the content waits. It leaves a little later than its deadline.
const CALLER_TIME: Duration = Duration::from_millis(700);

async fn start(count: usize, behavior: Behavior) -> (Vec<Server>, Node) {
    let mut servers = Vec::new();
    for number in 0..count {
        servers.push(Server::start(&format!("one-{number}"), "one", behavior).await);
    }
    let node = Node::start(&servers.iter().collect::<Vec<_>>()).await;
    (servers, node)
}

async fn get(node: &Node, path: &str) {
    let text = request("GET", path, "r", "").replace("x-deadline: 15000", "x-deadline: 600");
    let _ = timeout(CALLER_TIME, ask(node.front, &text)).await;
}

/// Guards against evidence that a mere connection, another server or silence withdraws.
#[rstest]
fn evidence_withdrawn(
    #[values(
        Trace::OpenConnections,
        Trace::OpenPort,
        Trace::OtherServer,
        Trace::Proxy,
        Trace::Silence
    )]
    trace: Trace,
    #[values("/one/", "/many/")] route: &str,
) {
    run(async {
        let (servers, node) = start(60, Behavior::End(trace)).await;
        for number in 0..40 {
            get(&node, &format!("{route}{number}")).await;
        }
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < TEST_TIME {
            get(&node, &format!("{route}crash")).await;
            for _ in 0..10 {
                number += 1;
                let path = format!("{route}other-{number}");
                let _ = timeout(Duration::from_millis(30), get(&node, &path)).await;
                sleep(Duration::from_millis(15)).await;
            }
        }
        let mut ends: Vec<_> = servers.iter().filter_map(|it| it.ended.get()).collect();
        ends.sort();
        assert!(!ends.is_empty(), "the content comes to servers");
        let third = ends.get(2).copied();
        let is_late = |it: &&Instant| third.is_some_and(|third| **it > third + STABLE_TIME);
        let late = ends.iter().filter(is_late).count();
        assert!(late <= MAX_LATE_ENDS, "{late} late ends, {} in all", ends.len());
    });
}
