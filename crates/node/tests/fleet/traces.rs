//! Traces with a span for each hop.

use mimosabridge_standin::{collector::Collector, server::Spec};
use serde_json::json;

use crate::env::Fleet;

#[tokio::test]
async fn span_per_hop() {
    let collector = Collector::start().await.expect("a free port is found");
    let mut fleet = Fleet::start_traced(Spec::new(), Some(collector)).await;
    fleet.query("entry-a", json!({})).await;
    // A stop exports the spans that are still buffered.
    for (_, node) in std::mem::take(&mut fleet.nodes) {
        node.stop().await;
    }
    let spans = fleet.collector.as_ref().expect("it was started").spans();
    let query = spans.iter().find(|it| it.name == "query").expect("the entry has a span");
    let call = spans.iter().find(|it| it.name == "entry to gate").expect("the call has a span");
    let servers: Vec<_> = spans.iter().filter(|it| it.name == "gate to server").collect();
    assert!(servers.len() >= 3, "each sub-request has a span: {spans:?}");
    assert_eq!(call.parent, query.id);
    assert!(servers.iter().any(|it| it.parent == call.id));
    assert!(spans.iter().all(|it| it.trace == query.trace), "{spans:?}");
}
