//! A node that receives the published facts from another one.

use std::{collections::BTreeSet, time::Duration};

use mimosabridge::feed::{Fact, Position, Snapshot};

use crate::env::{Behavior, Node, Server, ask, request, run};

/// Guards against each node watching the store itself: store calls then grow with the number of
/// nodes times the number of changes.
#[test]
fn single_store_watch() {
    run(async {
        let servers = [
            Server::start("i-1", "one", Behavior::Correct).await,
            Server::start("i-2", "one", Behavior::Correct).await,
        ];
        let reader = Node::start(&[&servers[0], &servers[1]]).await;
        let seeds = BTreeSet::from([reader.peer]);
        let follower = Node::start_with("node-2", reader.published.clone(), seeds).await;
        let status = async || {
            let request = request("GET", "/many/a", "r1", "");
            ask(follower.front, &request).await.expect("the node answers").status
        };
        assert_eq!(status().await, 200);
        // Gives the nodes time to discover each other.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let before = follower.watches.get();
        for (revision, server) in (6..).zip(&servers) {
            let facts = vec![Fact::Gone(server.id.clone())];
            *reader.published.borrow_mut() =
                Snapshot { position: Position::new(0, revision), facts };
            tokio::time::sleep(Duration::from_millis(1_000)).await;
        }
        while status().await != 503 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(follower.watches.get(), before, "the follower watched the store itself");
    });
}
