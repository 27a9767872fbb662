//! Connections to a backend server that go silent for good while new ones work.

use mimosabridge_standin::searcher::Spec;
use serde_json::json;

use crate::env::Fleet;

#[tokio::test]
async fn replaced() {
    let fleet = Fleet::start(Spec::new()).await;
    for _ in 0..5 {
        fleet.query("entry-a", json!({})).await;
    }
    for searcher in fleet.searchers.values() {
        searcher.model().silence();
    }
    let served = fleet.total(|stats| stats.served);
    // The first requests meet the silent connections; every one is answered all the same.
    for _ in 0..5 {
        let (_, answer) = fleet.query("entry-a", json!({})).await;
        assert_eq!(answer["verdict"], "complete", "{answer}");
    }
    assert!(fleet.total(|stats| stats.served) >= served + 15);
}
