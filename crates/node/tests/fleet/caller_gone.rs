//! A caller that disconnects cancels the work of its request at the servers.

use mimosabridge_standin::server::Spec;
use serde_json::json;

use crate::env::Fleet;

#[tokio::test]
async fn work_cancelled() {
    let fleet = Fleet::start(Spec::new()).await;
    for server in fleet.servers.values() {
        server.model().set_slowdown(1_000.0);
    }
    let url = fleet.url("entry-a", "query");
    let caller = tokio::spawn(async move {
        let http = reqwest::Client::builder().no_proxy().build().expect("no TLS is needed");
        http.post(url).json(&json!({ "rule": "rule", "query": {} })).send().await
    });
    fleet.wait("the request runs", |it| it.total(|stats| stats.started) >= 3).await;
    let started = fleet.total(|stats| stats.started);
    caller.abort();
    fleet.wait("the work is cancelled", |it| it.total(|stats| stats.cancelled) >= started).await;
    assert_eq!(fleet.total(|stats| stats.served), 0);
}
