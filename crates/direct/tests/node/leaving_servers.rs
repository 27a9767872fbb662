//! Servers that are removed from the store while a node runs.

use mimosabridge::feed::{Fact, Position, Snapshot};

use crate::env::{Behavior, Node, Server, ask, request, run};

#[test]
fn removed_server_unused() {
    run(async {
        let old = Server::start("i-1", "one", Behavior::Correct).await;
        let node = Node::start(&[&old]).await;
        let ask_once = async |id: &str| {
            ask(node.front, &request("GET", "/many/a", id, "")).await.expect("the node answers")
        };
        assert_eq!(ask_once("r1").await.status, 200);
        let facts = vec![Fact::Gone(old.id.clone())];
        *node.published.borrow_mut() = Snapshot { position: Position::new(0, 6), facts };
        while ask_once("r2").await.status != 503 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        let before = old.arrivals();
        assert_eq!(ask_once("r3").await.status, 503, "no server remains");
        assert_eq!(old.arrivals(), before);
    });
}
