//! HTTP for operators: metrics and the state of the node.

mod status;

pub use self::status::{Status, status};

use std::sync::Arc;

use poem::{
    Endpoint, EndpointExt, Route, get, handler,
    web::{Data, Json},
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    fleet::{Connectivity, View},
    gate,
    metrics::Metrics,
};

/// What the pages for operators show.
#[derive(Clone)]
pub struct Parts {
    /// The name of the node.
    pub name: mimosabridge::name::Name,
    /// The metrics of the node.
    pub metrics: Metrics,
    /// What the node knows about the fleet.
    pub view: watch::Receiver<Arc<View>>,
    /// Says whether the node has lost contact with the others.
    pub connectivity: Connectivity,
    /// Sends messages to the gate of the node, if it is one.
    pub gate: Option<mpsc::UnboundedSender<gate::Message>>,
}

/// Returns the HTTP service for operators.
pub fn routes(parts: Parts) -> impl Endpoint {
    Route::new().at("/metrics", get(metrics)).at("/status", get(show)).data(parts)
}

#[handler]
fn metrics(parts: Data<&Parts>) -> String {
    parts.metrics.text()
}

#[handler]
async fn show(parts: Data<&Parts>) -> Json<Status> {
    let mut servers = Vec::new();
    if let Some(gate) = &parts.gate {
        let (reply, hints) = oneshot::channel();
        let _ = gate.send(gate::Message::Hints(reply));
        servers = hints.await.unwrap_or_default();
    }
    let view = parts.view.borrow().clone();
    Json(status(&parts.name, &view, parts.connectivity.is_isolated(), servers))
}
