//! Connections to a backend server that stay silent permanently while new ones work.

use mimosabridge_standin::server::Spec;
use serde_json::json;

use crate::env::Fleet;

#[tokio::test]
async fn replaced() {
    let fleet = Fleet::start(Spec::new()).await;
    for _ in 0..5 {
        fleet.query("entry-a", json!({})).await;
    }
    for server in fleet.servers.values() {
        server.model().silence();
    }
    let served = fleet.total(|stats| stats.served);
    // The first requests are sent on the silent connections, and each of them is still answered.
    for _ in 0..5 {
        let (_, answer) = fleet.query("entry-a", json!({})).await;
        assert_eq!(answer["verdict"], "complete", "{answer}");
    }
    assert!(fleet.total(|stats| stats.served) >= served + 15);
}
