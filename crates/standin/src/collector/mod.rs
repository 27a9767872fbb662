//! A model of a trace collector that receives OTLP as JSON.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

use poem::{
    EndpointExt, Route, Server, handler,
    listener::TcpAcceptor,
    post,
    web::{Data, Json},
};
use serde_json::Value;
use tokio::{net::TcpListener, task::JoinHandle};

/// A running collector. It stops when it is dropped.
#[derive(Debug)]
pub struct Collector {
    address: SocketAddr,
    spans: Spans,
    task: JoinHandle<io::Result<()>>,
}

/// A span that the collector received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Span {
    /// The ID of the trace.
    pub trace: String,
    /// The ID of the span.
    pub id: String,
    /// The ID of the parent span; empty for a root span.
    pub parent: String,
    /// The name of the span.
    pub name: String,
}

type Spans = Arc<Mutex<Vec<Span>>>;

impl Collector {
    /// Starts a collector on a free local port. Fails if none can be bound.
    pub async fn start() -> io::Result<Collector> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let spans = Spans::default();
        let routes = Route::new().at("/v1/traces", post(collect)).data(spans.clone());
        let acceptor = TcpAcceptor::from_tokio(listener)?;
        let task = tokio::spawn(Server::new_with_acceptor(acceptor).run(routes));
        Ok(Collector { address, spans, task })
    }

    /// Returns the URL to which exporters send spans.
    pub fn url(&self) -> String {
        format!("http://{}/v1/traces", self.address)
    }

    /// Returns the spans received so far.
    pub fn spans(&self) -> Vec<Span> {
        self.spans.lock().expect("no holder of the lock panics").clone()
    }
}

impl Drop for Collector {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[handler]
fn collect(spans: Data<&Spans>, Json(body): Json<Value>) -> Json<Value> {
    let mut spans = spans.lock().expect("no holder of the lock panics");
    for resource in list(&body["resourceSpans"]) {
        for scope in list(&resource["scopeSpans"]) {
            spans.extend(list(&scope["spans"]).iter().map(span));
        }
    }
    Json(serde_json::json!({}))
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], |it| it)
}

fn span(value: &Value) -> Span {
    let text = |key: &str| value[key].as_str().unwrap_or_default().to_owned();
    Span {
        trace: text("traceId"),
        id: text("spanId"),
        parent: text("parentSpanId"),
        name: text("name"),
    }
}
