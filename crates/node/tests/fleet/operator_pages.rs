//! The pages for operators.

use mimosabridge_standin::server::Spec;
use serde_json::{Value, json};

use crate::env::Fleet;

#[tokio::test]
async fn metrics_counted() {
    let fleet = Fleet::start(Spec::new()).await;
    fleet.query("entry-a", json!({})).await;
    let text = fleet.page("entry-a", "metrics").await;
    for line in [
        "mimosabridge_answers_total{rule=\"rule\",verdict=\"complete\"} 1",
        "mimosabridge_shards_total{covered=\"yes\",rule=\"rule\"} 3",
        "mimosabridge_config_version 1",
        "mimosabridge_nodes{state=\"alive\"} 4",
    ] {
        assert!(text.contains(line), "{line} is not in {text}");
    }
    let text = fleet.page("gate-a", "metrics").await;
    assert!(text.contains("mimosabridge_tasks_total{outcome=\"served\"}"), "{text}");
}

#[tokio::test]
async fn state_shown() {
    const SERVERS: [&str; 3] = ["a1", "a2", "a3"];
    let fleet = Fleet::start(Spec::new()).await;
    // An entry varies the time that it expects of a server, so that any query may go to the other
    // data centre.
    while SERVERS.iter().any(|it| fleet.servers[*it].model().stats().started == 0) {
        fleet.query("entry-a", json!({})).await;
    }
    let page = fleet.page("gate-a", "status").await;
    let status: Value = serde_json::from_str(&page).expect("the page is JSON");
    assert_eq!(status["nodes"], json!(["entry-a", "entry-b", "gate-a", "gate-b"]));
    assert_eq!(status["gates"], json!(["gate-a", "gate-b"]));
    assert_eq!(status["isolated"], false);
    for server in SERVERS {
        assert!(status["servers"][server]["limit"].as_u64() >= Some(1), "{server}: {status}");
    }
}
