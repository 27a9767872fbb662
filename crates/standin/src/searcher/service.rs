use std::{sync::Arc, time::Duration};

use mimosabridge::backend::{self, Health, Reason, Refused, Reply};
use poem::{
    Endpoint, EndpointExt, Request, Response, Route, delete, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json, Path},
};
use serde::Deserialize;
use serde_json::value::{RawValue, to_raw_value};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Model, model::Rejection};

/// Hits in a reply unless the query asks for another number.
const DEFAULT_HITS: usize = 3;

/// The parts of a query that the model understands; any other is ignored.
#[derive(Debug, Default, Deserialize)]
struct Query {
    /// Hits that the reply holds.
    #[serde(default)]
    hits: Option<usize>,
    /// Whether hits have the same key on every shard.
    #[serde(default)]
    shared: bool,
    /// Whether the query crashes the server that runs it.
    #[serde(default)]
    poison: bool,
    /// The identity of an action that must not be done twice.
    #[serde(default)]
    order: Option<String>,
}

/// What a caller may do to the model while it runs, with `POST /control`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Control {
    holds: Option<Vec<u64>>,
    leaving: Option<bool>,
    slowdown: Option<f64>,
    chill: bool,
    silence: bool,
    crash: bool,
}

/// Returns the HTTP service of a modelled server.
pub fn service(model: Arc<Model>) -> impl Endpoint {
    Route::new()
        .at("/shards/:shard/search", post(search))
        .at("/requests/:id", delete(cancel))
        .at("/health", get(health))
        .at("/stats", get(stats))
        .at("/control", post(control))
        .data(model)
}

#[handler]
async fn search(
    model: Data<&Arc<Model>>,
    Path(shard): Path<String>,
    request: &Request,
    body: Vec<u8>,
) -> Response {
    let model = model.0.clone();
    let id = request.header(backend::REQUEST_ID).unwrap_or_default().to_owned();
    let snapshot = number(request, backend::SNAPSHOT).unwrap_or_default();
    let deadline = number(request, backend::DEADLINE_MS).map(Duration::from_millis);
    let query: Query = serde_json::from_slice(&body).unwrap_or_default();
    let network = model.spec().network;
    if !network.is_zero() {
        tokio::time::sleep(network).await;
    }
    match model.start(&id, snapshot, query.order.as_deref()) {
        Ok((time, token)) => {
            // The request goes on when its connection breaks, as a real one would.
            let work = tokio::spawn(run(model, id, shard, snapshot, query, time, deadline, token));
            work.await.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into())
        }
        Err(rejection) => refuse(&model, id, rejection),
    }
}

#[allow(clippy::too_many_arguments)]
async fn run(
    model: Arc<Model>,
    id: String,
    shard: String,
    snapshot: u64,
    query: Query,
    time: Duration,
    deadline: Option<Duration>,
    token: CancellationToken,
) -> Response {
    let begun = Instant::now();
    let late = deadline.is_some_and(|it| it < time);
    let time = deadline.map_or(time, |it| it.min(time));
    let done = tokio::select! {
        () = tokio::time::sleep(time) => !late,
        () = token.cancelled() => false,
    };
    model.end(&id, begun.elapsed(), done);
    if query.poison && done {
        model.crash();
        // The connection breaks; no reply leaves a crashed process.
        std::future::pending::<()>().await;
    }
    if !done {
        return StatusCode::REQUEST_TIMEOUT.into();
    }
    let server = model.report();
    let reply = Reply {
        request_id: id,
        snapshot,
        holds: model.holds(),
        server,
        hits: hits(&shard, &query),
    };
    json(StatusCode::OK, &reply)
}

fn hits(shard: &str, query: &Query) -> Box<RawValue> {
    let prefix = if query.shared { "shared" } else { shard };
    let hits: Vec<_> = (0..query.hits.unwrap_or(DEFAULT_HITS))
        .map(|it| {
            let document = serde_json::json!({ "shard": shard, "number": it });
            serde_json::json!({
                "key": format!("{prefix}-{it}"),
                "score": 1.0 / (it + 1) as f64,
                "document": document,
            })
        })
        .collect();
    to_raw_value(&hits).expect("hits are valid JSON")
}

fn refuse(model: &Model, request_id: String, rejection: Rejection) -> Response {
    let reason = match rejection {
        Rejection::Shed => Reason::Shed,
        Rejection::Leaving => Reason::Leaving,
        Rejection::NotHeld => Reason::NotHeld,
    };
    let refused = Refused { request_id, reason, holds: model.holds(), server: model.report() };
    json(StatusCode::SERVICE_UNAVAILABLE, &refused)
}

#[handler]
fn cancel(model: Data<&Arc<Model>>, Path(id): Path<String>) -> StatusCode {
    model.cancel(&id);
    StatusCode::NO_CONTENT
}

#[handler]
fn health(model: Data<&Arc<Model>>) -> Json<Health> {
    Json(Health { server: model.report(), holds: model.holds() })
}

#[handler]
fn stats(model: Data<&Arc<Model>>) -> Json<super::Stats> {
    Json(model.stats())
}

#[handler]
fn control(model: Data<&Arc<Model>>, Json(control): Json<Control>) -> StatusCode {
    if let Some(holds) = control.holds {
        model.set_holds(holds);
    }
    if let Some(leaving) = control.leaving {
        model.set_leaving(leaving);
    }
    if let Some(factor) = control.slowdown {
        model.set_slowdown(factor);
    }
    if control.chill {
        model.chill();
    }
    if control.silence {
        model.silence();
    }
    if control.crash {
        model.crash();
    }
    StatusCode::NO_CONTENT
}

fn number(request: &Request, header: &str) -> Option<u64> {
    request.header(header)?.parse().ok()
}

fn json(status: StatusCode, body: &impl serde::Serialize) -> Response {
    let text = serde_json::to_vec(body).expect("replies are valid JSON");
    Response::builder().status(status).content_type("application/json").body(text)
}
