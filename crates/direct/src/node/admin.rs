use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use poem::{
    EndpointExt, Route, Server, get, handler, http::StatusCode, listener::TcpListener, web::Data,
};

use crate::{events, metrics::Metrics};

/// Serves the readiness check of the load balancer.
pub fn serve_ready(address: SocketAddr, path: &str, is_ready: Arc<AtomicBool>) {
    let routes = Route::new().at(path, get(ready)).data(is_ready);
    tokio::spawn(async move {
        let end = Server::new(TcpListener::bind(address)).run(routes).await;
        report("readiness", end);
    });
}

/// Serves the metrics for Prometheus.
pub fn serve_metrics(address: SocketAddr, metrics: Metrics) {
    let routes = Route::new().at("/metrics", get(text)).data(metrics);
    tokio::spawn(async move {
        let end = Server::new(TcpListener::bind(address)).run(routes).await;
        report("metrics", end);
    });
}

fn report(what: &str, end: std::io::Result<()>) {
    if let Err(error) = end {
        events::TROUBLE.emit(&[("operation", &what), ("error", &error)]);
    }
}

#[handler]
fn ready(is_ready: Data<&Arc<AtomicBool>>) -> StatusCode {
    if is_ready.load(Ordering::Relaxed) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

#[handler]
fn text(metrics: Data<&Metrics>) -> String {
    metrics.text()
}
