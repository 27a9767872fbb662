//! Requests that are not idempotent.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use mimosabridge::{config::Set, name::Name, place::Placement, quarantine::List, query::Verdict};
use mimosabridge_node::{
    clock::Clock,
    entry::{Coordinator, Home, Parts, Request},
    fleet::{Connectivity, View},
    metrics::Metrics,
    timer,
    trace::Tracer,
};
use mimosabridge_standin::server::Spec;
use serde_json::{Value, json, value::RawValue};
use tokio::sync::watch;

use crate::env::Fleet;

fn order(ticket: &str, number: u32) -> Value {
    json!({
        "rule": "rule",
        "query": { "order": format!("order-{number}") },
        "idempotent": false,
        "ticket": ticket,
    })
}

/// Returns how often the servers of each shard started an order.
fn starts(fleet: &Fleet, order: &str) -> Vec<u32> {
    let count = |server: String| fleet.stats(&server).orders.get(order).copied().unwrap_or(0);
    (1..=3).map(|it| count(format!("a{it}")) + count(format!("b{it}"))).collect()
}

#[tokio::test]
async fn ticket_needed() {
    let fleet = Fleet::start(Spec::new()).await;
    let body = json!({ "rule": "rule", "query": { "order": "x" }, "idempotent": false });
    let (status, answer) = fleet.post("entry-a", body).await;
    assert_eq!((status, &answer["refusal"]), (400, &json!("ticket_missing")));
    let message = answer["message"].as_str().expect("the refusal is explained");
    assert!(message.contains("POST /v1/tickets"), "{message}");
    assert_eq!(fleet.total(|it| it.started), 0);
}

#[tokio::test]
async fn one_run() {
    let fleet = Fleet::start(Spec::new()).await;
    let ticket = fleet.ticket("entry-a").await;
    let sends = (0..10).map(|number| {
        let entry = if number % 2 == 0 { "entry-a" } else { "entry-b" };
        fleet.post(entry, order(&ticket, 1))
    });
    for (status, answer) in futures_util::future::join_all(sends).await {
        assert_eq!((status, &answer["verdict"]), (200, &json!("complete")), "{answer}");
    }
    assert_eq!(starts(&fleet, "order-1"), [1, 1, 1]);
    let (status, answer) = fleet.post("entry-b", order(&ticket, 2)).await;
    assert_eq!((status, &answer["refusal"]), (409, &json!("ticket_taken")));
    assert_eq!(starts(&fleet, "order-2"), [0, 0, 0]);
}

#[tokio::test]
async fn home_stopped() {
    let mut fleet = Fleet::start(Spec::new()).await;
    let ticket = fleet.ticket("entry-a").await;
    let (status, _) = fleet.post("entry-b", order(&ticket, 1)).await;
    assert_eq!(status, 200);
    fleet.nodes.remove("entry-a").expect("it was started").stop().await;
    let (status, answer) = fleet.post("entry-b", order(&ticket, 1)).await;
    assert_eq!((status, &answer["verdict"]), (504, &json!("unknown")), "{answer}");
    assert_eq!(starts(&fleet, "order-1"), [1, 1, 1]);
}

#[tokio::test]
async fn answer_kept() {
    let fleet = Fleet::start(Spec::new()).await;
    let ticket = fleet.ticket("entry-a").await;
    let http = reqwest::Client::builder().no_proxy().build().expect("no TLS is needed");
    let url = fleet.url("entry-b", &format!("tickets/{ticket}"));
    let before = http.get(&url).send().await.expect("the entry answers");
    assert_eq!(before.status().as_u16(), 404);
    fleet.post("entry-a", order(&ticket, 1)).await;
    let after = http.get(&url).send().await.expect("the entry answers");
    assert_eq!(after.status().as_u16(), 200);
    let answer: Value = after.json().await.expect("it is JSON");
    assert_eq!(answer["verdict"], "complete");
}

/// Guards against an entry that gives a request of another home the time of its own rules.
#[tokio::test]
async fn rule_spreads() {
    let work = Duration::from_millis(1_500);
    let spec = Spec { service_time: work, cold_factor: 1.0, straggle: 0.0, ..Spec::new() };
    let fleet = Fleet::start(spec).await;
    let ticket = fleet.ticket("entry-a").await.parse().expect("the ticket is valid");
    // The entry knows the other nodes and another rule.
    let mut known = View::clone(&fleet.nodes["entry-a"].view().borrow());
    let mut set = Set::clone(&known.set);
    let rule = set.rules.remove("rule").expect("the fixture has it");
    set.rules.insert(Name::from("other"), rule);
    known.set = Arc::new(set);
    let (_views, view) = watch::channel(Arc::new(known));
    let coordinator = Coordinator::new(Parts {
        data_centre: Name::from("a"),
        boot: 1,
        timer: timer::Service::start(Clock::new()),
        view,
        connectivity: Connectivity::new(),
        quarantine: Arc::new(Mutex::new(List::new())),
        metrics: Metrics::new(),
        tracer: Tracer::new(),
        name: Name::from("entry-c"),
        placement: Placement::Primary,
    });
    let home = Home::new(Name::from("entry-c"), 1, Arc::new(coordinator));
    let query = RawValue::from_string(r#"{"order":"order-1"}"#.to_owned());
    let request = Request {
        rule: Name::from("rule"),
        query: query.expect("the query is JSON"),
        budget: None,
        idempotent: false,
        trace: None,
    };
    let answer = home.submit(ticket, request).await;
    assert_eq!(answer.verdict, Verdict::Complete, "{answer:?}");
    assert_eq!(starts(&fleet, "order-1"), [1, 1, 1]);
}
