//! Calls to a node that stops, from nodes that don't know it yet, and callers that don't finish.

use std::{
    pin::pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::future::{Either, join, select};
use jsonrpsee::{
    core::client::Error,
    ws_client::{WsClient, WsClientBuilder},
};
use mimosabridge::{
    config::Class,
    fingerprint::Fingerprint,
    gate::Settings,
    name::Name,
    outcome::{Outcome, Refusal},
    place::Placement,
    quarantine::List,
    query::Verdict,
    wire::{Call, SubRequest},
};
use mimosabridge_node::{
    clock::Clock,
    entry::{HomeClient, Request},
    fleet::{Connectivity, View},
    gate::{self, GateClient},
    metrics::Metrics,
    node::Node,
    timer,
    trace::Tracer,
};
use mimosabridge_standin::server::Spec;
use serde_json::value::RawValue;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{mpsc, oneshot, watch},
};

use crate::env::Fleet;

/// How long a server works for a request that must not outlast a stop: longer than a node that has
/// nothing else to do takes to end.
const LONG_WORK: Duration = Duration::from_millis(1_500);

/// Guards against a request that a home runs and doesn't answer, since it ends meanwhile.
#[tokio::test]
async fn late_ticket_cut() {
    let spec = Spec { service_time: LONG_WORK, cold_factor: 1.0, straggle: 0.0, ..Spec::new() };
    let mut fleet = Fleet::start(spec).await;
    let ticket = fleet.ticket("entry-a").await.parse().expect("the ticket is valid");
    let home = fleet.nodes.remove("entry-a").expect("it was started");
    let http = home.http_address().expect("the node is an entry");
    let client = connect(&home).await;
    let submit = async {
        // The entry closes this address when it begins to wait for the requests that run.
        while TcpStream::connect(http).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        HomeClient::submit(&client, ticket, request()).await
    };
    // The process ends with the stop.
    let answer = match select(pin!(submit), pin!(home.stop())).await {
        Either::Left((answer, stop)) => {
            stop.await;
            answer.ok()
        }
        Either::Right(((), _)) => None,
    };
    let started = fleet.total(|it| it.started);
    let verdict = answer.map(|it| it.verdict);
    assert!(
        started == 0 && verdict == Some(Verdict::NotRun) || verdict == Some(Verdict::Complete),
        "{started} parts ran, and the answer was {verdict:?}"
    );
}

/// Guards against a call to a gate without work that is taken and ends without an answer.
#[tokio::test]
async fn late_call_dropped() {
    let mut fleet = Fleet::start(Spec::new()).await;
    let gate = fleet.nodes.remove("gate-a").expect("it was started");
    let client = connect(&gate).await;
    let calls = async {
        let mut refused = 0;
        for id in 0.. {
            match GateClient::run(&client, call(id)).await {
                Ok(mut items) => match items.next().await {
                    Some(Ok(items)) => {
                        let is_refused =
                            |it: &Outcome| matches!(it, Outcome::Refused(Refusal::GateLeaving));
                        refused += items.iter().filter(|it| is_refused(&it.outcome)).count();
                    }
                    Some(Err(error)) => panic!("the items can't be read: {error}"),
                    None => panic!("the gate took call {id} and dropped it"),
                },
                Err(Error::Call(_)) => refused += 1,
                // The connection has been closed.
                Err(_) => break,
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        refused
    };
    let (refused, ()) = join(calls, gate.stop()).await;
    assert!(refused > 0, "the gate takes calls while it stops, and drops them");
}

/// Guards against a call that waits behind the last message of a stop and ends without an answer.
#[tokio::test]
async fn waiting_call_dropped() {
    let (fleet, _reports) = mpsc::unbounded_channel();
    let (_views, view) = watch::channel(Arc::new(View::default()));
    let gate = gate::Actor::start(gate::Parts {
        name: Name::from("gate-a"),
        settings: Settings::new(),
        placement: Placement::Primary,
        timer: timer::Service::start(Clock::new()),
        view,
        connectivity: Connectivity::new(),
        quarantine: Arc::new(Mutex::new(List::new())),
        metrics: Metrics::new(),
        tracer: Tracer::new(),
        fleet,
    });
    let (done, finished) = oneshot::channel();
    let (items, mut answers) = mpsc::unbounded_channel();
    // The gate does not run before both have been sent.
    gate.send(gate::Message::Stop(done)).expect("the gate takes messages");
    gate.send(gate::Message::Call(call(0), items)).expect("the gate takes messages");
    finished.await.expect("the gate has no work");
    let item = answers.recv().await.expect("the call gets a word");
    let outcome = item.outcome;
    assert!(matches!(outcome, Outcome::Refused(Refusal::GateLeaving)), "{outcome:?}");
}

/// Guards against a stop that waits without end for a caller that doesn't finish its request.
#[tokio::test]
async fn half_request_awaited() {
    let mut fleet = Fleet::start(Spec::new()).await;
    let next = fleet.change(|set| {
        set.rules.get_mut("rule").expect("the fixture has it").deadline_ms = 500;
    });
    fleet.wait_in_force(next.stamp).await;
    let entry = fleet.nodes.remove("entry-a").expect("it was started");
    let caller = TcpStream::connect(entry.http_address().expect("the node is an entry"));
    let mut caller = caller.await.expect("the entry accepts connections");
    let half = caller.write_all(b"POST /v1/query HTTP/1.1\r\n").await;
    half.expect("the connection is open");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stop = tokio::time::timeout(Duration::from_secs(10), entry.stop()).await;
    assert!(stop.is_ok(), "the entry still waits for its caller");
}

/// Guards against a request whose body comes during a stop and that isn't answered before its end.
#[tokio::test]
async fn late_body_cut() {
    let spec = Spec { service_time: LONG_WORK, cold_factor: 1.0, straggle: 0.0, ..Spec::new() };
    let mut fleet = Fleet::start(spec).await;
    let next = fleet.change(|set| {
        set.rules.get_mut("rule").expect("the fixture has it").deadline_ms = 500;
    });
    fleet.wait_in_force(next.stamp).await;
    let entry = fleet.nodes.remove("entry-a").expect("it was started");
    let http = entry.http_address().expect("the node is an entry");
    let caller = async {
        let mut caller = TcpStream::connect(http).await?;
        let body = r#"{"rule":"rule","query":{}}"#;
        let head =
            format!("POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", body.len());
        caller.write_all(head.as_bytes()).await?;
        // The entry closes this address when it begins to wait for the requests that run.
        while TcpStream::connect(http).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
        caller.write_all(body.as_bytes()).await?;
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await?;
        std::io::Result::Ok(answer)
    };
    let answer = match select(pin!(caller), pin!(entry.stop())).await {
        Either::Left((answer, stop)) => {
            stop.await;
            answer.expect("the connection is not reset")
        }
        Either::Right(((), _)) => panic!("the entry ended before it answered"),
    };
    assert!(answer.starts_with("HTTP/1.1 5") && answer.ends_with('}'), "{answer}");
}

async fn connect(node: &Node) -> WsClient {
    let url = format!("ws://{}", node.record().rpc);
    WsClientBuilder::new().build(url).await.expect("the node accepts connections")
}

fn request() -> Request {
    Request {
        rule: Name::from("rule"),
        query: query(),
        budget: None,
        idempotent: false,
        trace: None,
    }
}

fn call(id: u64) -> Call {
    let server = Name::from("a1");
    let sub = SubRequest { attempt: 0, server, shard: Name::from("shard1"), is_repeat: false };
    Call {
        id,
        class: Class::Interactive,
        content: Fingerprint::new(&Name::from("rule"), b"{}"),
        idempotent: true,
        budget_micros: 1_000_000,
        snapshot: 1,
        query: query(),
        trace: None,
        subs: vec![sub],
    }
}

fn query() -> Box<RawValue> {
    RawValue::from_string("{}".to_owned()).expect("the query is JSON")
}
