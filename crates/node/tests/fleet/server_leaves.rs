//! A backend server that starts leaving.

use mimosabridge_standin::server::Spec;
use serde_json::json;

use crate::env::Fleet;

#[tokio::test]
async fn no_new_work() {
    let fleet = Fleet::start(Spec::new()).await;
    fleet.query("entry-a", json!({})).await;
    fleet.servers["a1"].model().set_leaving(true);
    let knows = |it: &Fleet, node: &str| it.nodes[node].view().borrow().leaving.contains("a1");
    let everywhere = |it: &Fleet| it.nodes.keys().all(|node| knows(it, node));
    fleet.wait("every node knows", everywhere).await;
    let before = fleet.stats("a1");
    for _ in 0..20 {
        let (_, answer) = fleet.query("entry-a", json!({})).await;
        assert_eq!(answer["verdict"], "complete", "{answer}");
    }
    let after = fleet.stats("a1");
    assert_eq!(before.started, after.started);
    assert_eq!(before.refused, after.refused, "it gets no request that it would refuse");
}
