//! A query that crashes every server that runs it.

use mimosabridge::{fingerprint::Fingerprint, name::Name};
use mimosabridge_standin::server::Spec;
use serde_json::json;

use crate::env::Fleet;

#[tokio::test]
async fn quarantined_everywhere() {
    let mut fleet = Fleet::start(Spec { straggle: 0.0, ..Spec::new() }).await;
    let next = fleet.change(|set| {
        set.rules.get_mut("rule").expect("the fixture has it").canary_over = 1;
    });
    fleet.wait_in_force(next.stamp).await;
    let poison = json!({ "poison": true });
    let (_, answer) = fleet.query("entry-a", poison.clone()).await;
    assert_eq!(answer["verdict"], "unknown", "{answer}");
    let crashes = |it: &Fleet| it.total(|stats| u64::from(stats.crashes));
    assert_eq!(crashes(&fleet), 2, "one shard was tried first, on two servers");
    let content = Fingerprint::new(&Name::from("rule"), poison.to_string().as_bytes());
    let everywhere = |it: &Fleet| it.nodes.values().all(|node| node.is_quarantined(content));
    fleet.wait("every node knows", everywhere).await;
    for entry in ["entry-a", "entry-b"] {
        let (status, answer) = fleet.query(entry, poison.clone()).await;
        assert_eq!((status, &answer["refusal"]), (422, &json!("quarantined")), "{answer}");
    }
    assert_eq!(crashes(&fleet), 2, "the repeated query crashes no server");
    let (_, answer) = fleet.query("entry-b", json!({})).await;
    assert_ne!(answer["refusal"], "quarantined", "other queries are served");
}
