//! Rules that a new version of the configuration no longer has.

use std::time::Duration;

use mimosabridge::{
    feed::{Fact, Position, Snapshot},
    plan::Spec,
    scatter::End,
};
use mimosabridge_direct::metrics::Metrics;

use crate::env::{Behavior, Node, Server, ask, entry, get, request, run};

#[test]
fn series_removed() {
    let metrics = Metrics::new();
    for rule in ["kept", "gone"] {
        metrics.on_answer(&rule.into(), "served", Duration::from_millis(7));
        metrics.on_answer(&rule.into(), "failed", Duration::from_millis(7));
        metrics.on_attempt(&format!("service-{rule}").as_str().into(), End::Served);
    }
    metrics.retain(|it| it == "kept", |it| it == "service-kept");
    let text = metrics.text();
    assert!(text.contains("\"kept\"") && text.contains("\"service-kept\""));
    assert!(!text.contains("gone"), "{text}");
}

/// Guards against metrics of each rule that ever had a request.
#[test]
fn removed_by_version() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        let node = Node::start(&[&server]).await;
        let answer = ask(node.front, &request("GET", "/many/a", "r", "")).await;
        assert_eq!(answer.map(|it| it.status), Some(200));
        let has_series = async || {
            let metrics = get(node.metrics, "/metrics").await.expect("the node answers");
            metrics.body.contains("rule=\"many\"")
        };
        assert!(has_series().await);
        let plan = Fact::Plan(Spec { version: 2, ..Spec::default() });
        let facts = vec![plan, Fact::Server(entry(&server))];
        *node.published.borrow_mut() = Snapshot { position: Position::new(0, 6), facts };
        while has_series().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}
