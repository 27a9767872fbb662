//! Queries through entry, gate and server.

use mimosabridge_standin::server::Spec;
use serde_json::json;

use crate::env::Fleet;

#[tokio::test]
async fn complete_answer() {
    let fleet = Fleet::start(Spec::new()).await;
    let (status, answer) = fleet.query("entry-a", json!({ "hits": 2 })).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["verdict"], "complete");
    assert_eq!(answer["snapshot"], 1);
    assert_eq!(answer["coverage"], json!({ "total": 3, "answered": 3, "missing": [] }));
    let keys: Vec<_> =
        answer["hits"].as_array().expect("hits").iter().map(|it| &it["key"]).collect();
    let expected = ["shard1-0", "shard2-0", "shard3-0", "shard1-1", "shard2-1", "shard3-1"]
        .map(|it| json!(it));
    assert_eq!(keys, expected.iter().collect::<Vec<_>>());
}

#[tokio::test]
async fn concurrent_queries() {
    let fleet = Fleet::start(Spec::new()).await;
    let queries = (0..40).map(|number| {
        let fleet = &fleet;
        async move {
            let (_, answer) = fleet.query("entry-b", json!({ "hits": number })).await;
            assert_eq!(answer["hits"].as_array().map(Vec::len), Some(3 * number), "{answer}");
        }
    });
    futures_util::future::join_all(queries).await;
}

#[tokio::test]
async fn deduplicated() {
    let mut fleet = Fleet::start(Spec::new()).await;
    let next = fleet.change(|set| {
        set.rules.get_mut("rule").expect("the fixture has it").deduplicate = true;
    });
    fleet.wait_in_force(next.stamp).await;
    let (_, answer) = fleet.query("entry-a", json!({ "hits": 4, "shared": true })).await;
    assert_eq!(answer["hits"].as_array().map(Vec::len), Some(4), "{answer}");
}

#[tokio::test]
async fn missing_shards() {
    let fleet = Fleet::start(Spec::new()).await;
    for server in ["a2", "b2"] {
        fleet.servers[server].model().set_holds(vec![9]);
    }
    let (status, answer) = fleet.query("entry-a", json!({})).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["verdict"], "partial");
    assert_eq!(answer["coverage"]["answered"], 2);
    let missing = json!([{ "shard": "shard2", "reason": { "not_run": { "not_held": [9] } } }]);
    assert_eq!(answer["coverage"]["missing"], missing);
}

#[tokio::test]
async fn snapshot_restart() {
    let mut fleet = Fleet::start(Spec::new()).await;
    let next = fleet.change(|set| {
        let mut newer = set.snapshots["s1"].clone();
        newer.name = "s2".into();
        newer.version = 2;
        set.snapshots.insert(newer.name.clone(), newer);
    });
    fleet.wait_in_force(next.stamp).await;
    for server in fleet.servers.values() {
        server.model().set_holds(vec![2]);
    }
    let (_, answer) = fleet.query("entry-a", json!({})).await;
    assert_eq!((&answer["verdict"], &answer["snapshot"]), (&json!("complete"), &json!(2)));
}

#[tokio::test]
async fn bad_input() {
    let fleet = Fleet::start(Spec::new()).await;
    let (status, body) = fleet.post("entry-a", json!({ "rule": "rule", "qurey": {} })).await;
    assert_eq!(status, 400);
    let error = body["error"].as_str().expect("the body has an error");
    assert!(error.contains("qurey"), "{error}");
    let (status, body) = fleet.post("entry-a", json!({ "rule": "none", "query": {} })).await;
    assert_eq!((status, &body["verdict"]), (404, &json!("not_run")));
    assert_eq!(fleet.total(|it| it.started), 0);
}
