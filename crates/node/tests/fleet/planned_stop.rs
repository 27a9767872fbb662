//! A planned stop interrupts no request.

use std::sync::atomic::{AtomicBool, Ordering};

use mimosabridge_standin::server::Spec;
use serde_json::json;

use crate::env::Fleet;

#[tokio::test]
async fn gate_stops() {
    let mut fleet = Fleet::start(Spec::new()).await;
    let gate = fleet.nodes.remove("gate-a").expect("it was started");
    let stopped = AtomicBool::new(false);
    let ask = async {
        let mut answered = 0;
        while !stopped.load(Ordering::Relaxed) {
            let (_, answer) = fleet.query("entry-a", json!({})).await;
            assert_eq!(answer["verdict"], "complete", "{answer}");
            answered += 1;
        }
        answered
    };
    let stop = async {
        gate.stop().await;
        stopped.store(true, Ordering::Relaxed);
    };
    let (answered, ()) = tokio::join!(ask, stop);
    assert!(answered > 0);
    let (_, answer) = fleet.query("entry-a", json!({})).await;
    assert_eq!(answer["verdict"], "complete", "the other gate serves the request: {answer}");
}

#[tokio::test]
async fn entry_stops() {
    let mut fleet = Fleet::start(Spec::new()).await;
    for server in fleet.servers.values() {
        server.model().set_slowdown(100.0);
    }
    let url = fleet.url("entry-a", "query");
    let http = reqwest::Client::builder().no_proxy().build().expect("no TLS is needed");
    let response = tokio::spawn(async move {
        let body = json!({ "rule": "rule", "query": {} });
        let response =
            http.post(url).json(&body).send().await.expect("the request is not interrupted");
        response.json::<serde_json::Value>().await.expect("the answer is complete")
    });
    fleet.wait("the request runs", |it| it.total(|stats| stats.started) >= 3).await;
    fleet.nodes.remove("entry-a").expect("it was started").stop().await;
    let answer = response.await.expect("the caller got its answer");
    assert_eq!(answer["verdict"], "complete", "{answer}");
}
