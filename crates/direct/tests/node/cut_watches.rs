//! A store that closes the connections of watches that wait, and answers each further read.

use std::time::Duration;

use mimosabridge::feed::{Fact, Position, Snapshot};
use tokio::time::{Instant, sleep};

use crate::env::{Access, Behavior, Node, Server, ask, request, run};

/// How often all watches are cut.
const CUT_INTERVAL: Duration = Duration::from_secs(2);

/// How long after the removal of its entry a server may get requests.
const MAX_USE: Duration = Duration::from_secs(3);

/// Guards against a cut that counts as an outage of the store: entries that were removed seemed to have lapsed, and
/// further cuts prolonged the use of their servers without bound.
#[test]
fn removal_believed() {
    run(async {
        let servers = [
            Server::start("i-1", "one", Behavior::Correct).await,
            Server::start("i-2", "one", Behavior::Correct).await,
        ];
        let node = Node::start(&servers.iter().collect::<Vec<_>>()).await;
        let began = Instant::now();
        let (mut cuts, mut removed) = (0, None);
        while began.elapsed() < CUT_INTERVAL * 4 {
            if began.elapsed() >= CUT_INTERVAL * (cuts + 1) {
                cuts += 1;
                node.access.set(Access::Cut);
                sleep(Duration::from_millis(20)).await;
                node.access.set(Access::Answered);
            }
            if removed.is_none() && began.elapsed() >= CUT_INTERVAL + Duration::from_millis(400) {
                let facts = vec![Fact::Gone(servers[0].id.clone())];
                *node.published.borrow_mut() = Snapshot { position: Position::new(0, 6), facts };
                removed = Some(Instant::now());
            }
            let before = servers[0].requests.borrow().len();
            let answer = ask(node.front, &request("GET", "/many/a", "r", "")).await;
            assert_eq!(answer.map(|it| it.status), Some(200));
            let is_used = servers[0].requests.borrow().len() > before;
            let age = removed.map_or(Duration::ZERO, |it| it.elapsed());
            assert!(!is_used || age < MAX_USE, "used after {age:?}");
            sleep(Duration::from_millis(10)).await;
        }
    });
}
