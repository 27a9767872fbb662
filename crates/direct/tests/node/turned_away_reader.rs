//! A reader that the store turns away while it answers the nodes that follow the reader.

use std::{collections::BTreeSet, time::Duration};

use mimosabridge::feed::{Fact, Position, Snapshot};
use tokio::time::{Instant, sleep};

use crate::env::{Access, Behavior, Node, Server, ask, request, run};

/// How long after the removal of its entry a server may get requests.
const MAX_USE: Duration = Duration::from_secs(3);

/// How often an entry is removed.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(1_500);

const SERVERS: usize = 9;

/// Guards against a fault of the reader that counts as an outage of the store: its followers read the removal of
/// servers themselves, took it for a lapse and used the servers for over five seconds.
#[test]
fn removals_believed() {
    run(async {
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            servers.push(Server::start(&format!("i-{number}"), "one", Behavior::Correct).await);
        }
        let reader = Node::start(&servers.iter().collect::<Vec<_>>()).await;
        let mut nodes = Vec::new();
        for name in ["node-2", "node-3", "node-4"] {
            let seeds = BTreeSet::from([reader.peer]);
            nodes.push(Node::start_with(name, reader.published.clone(), seeds).await);
        }
        // Gives the nodes time to discover each other, and to take turns at the store.
        sleep(Duration::from_millis(5_500)).await;
        reader.access.set(Access::TurnedAway);
        let (began, mut facts) = (Instant::now(), Vec::new());
        let mut removed: Vec<(Instant, usize)> = Vec::new();
        while began.elapsed() < REMOVAL_INTERVAL * SERVERS as u32 {
            let due = began.elapsed().div_duration_f64(REMOVAL_INTERVAL) as usize;
            if due > removed.len() && removed.len() + 1 < SERVERS {
                let server = &servers[removed.len()];
                facts.push(Fact::Gone(server.id.clone()));
                let position = Position::new(0, 5 + facts.len() as u64);
                *reader.published.borrow_mut() = Snapshot { position, facts: facts.clone() };
                removed.push((Instant::now(), server.requests.borrow().len()));
            }
            for node in &nodes {
                let text = request("GET", "/many/a", "r", "");
                assert_eq!(ask(node.front, &text).await.map(|it| it.status), Some(200));
            }
            for ((since, count), server) in removed.iter_mut().zip(&servers) {
                let requests = server.requests.borrow().len();
                let age = since.elapsed();
                assert!(requests == *count || age < MAX_USE, "{} used after {age:?}", server.id);
                *count = requests;
            }
            sleep(Duration::from_millis(20)).await;
        }
    });
}
