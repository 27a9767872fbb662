//! News of servers that leave while a node runs.

use mimosabridge::feed::{Fact, Snapshot};

use crate::env::{Manner, Node, Searcher, ask, request, run};

#[test]
fn gone_server_left_alone() {
    run(async {
        let old = Searcher::start("i-1", "one", Manner::Sound).await;
        let node = Node::start(&[&old]).await;
        let ask_once = async |id: &str| {
            ask(node.front, &request("GET", "/many/a", id, "")).await.expect("an answer comes")
        };
        assert_eq!(ask_once("r1").await.status, 200);
        let facts = vec![Fact::Gone(old.id.clone())];
        *node.published.borrow_mut() = Snapshot { revision: 6, facts };
        while ask_once("r2").await.status != 503 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        let before = old.arrivals();
        assert_eq!(ask_once("r3").await.status, 503, "no server is left");
        assert_eq!(old.arrivals(), before);
    });
}
