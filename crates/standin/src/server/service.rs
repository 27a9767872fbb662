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

/// The number of hits in a reply if the query doesn't set it.
const DEFAULT_HITS: usize = 3;

/// The fields of a query that the model supports; others are ignored.
#[derive(Debug, Default, Deserialize)]
struct Query {
    /// The number of hits in the reply.
    #[serde(default)]
    hits: Option<usize>,
    /// Whether the hits have the same keys on every shard, as duplicates have.
    #[serde(default)]
    shared: bool,
    /// Whether the query crashes the server once it has run.
    #[serde(default)]
    poison: bool,
    /// The ID of an action that must not run twice; its starts are counted.
    #[serde(default)]
    order: Option<String>,
}

/// The body of `POST /control`, which changes the model while it runs.
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
    let snapshot = header_number(request, backend::SNAPSHOT).unwrap_or_default();
    let deadline = header_number(request, backend::DEADLINE_MS).map(Duration::from_millis);
    let query: Query = serde_json::from_slice(&body).unwrap_or_default();
    let network_delay = model.spec().network_delay;
    if !network_delay.is_zero() {
        tokio::time::sleep(network_delay).await;
    }
    match model.start(&id, snapshot, query.order.as_deref()) {
        Ok((time, token)) => {
            // The request runs in its own task, so that it goes on when its connection breaks, as on a
            // real server.
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
    let started = Instant::now();
    let is_late = deadline.is_some_and(|it| it < time);
    let time = deadline.map_or(time, |it| it.min(time));
    let completed = tokio::select! {
        () = tokio::time::sleep(time) => !is_late,
        () = token.cancelled() => false,
    };
    model.end(&id, started.elapsed(), completed);
    if query.poison && completed {
        model.crash();
        // The connection breaks, as a crashed process sends no reply.
        std::future::pending::<()>().await;
    }
    if !completed {
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
    json_response(StatusCode::OK, &reply)
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
    json_response(StatusCode::SERVICE_UNAVAILABLE, &refused)
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
        model.make_cold();
    }
    if control.silence {
        model.silence();
    }
    if control.crash {
        model.crash();
    }
    StatusCode::NO_CONTENT
}

fn header_number(request: &Request, header: &str) -> Option<u64> {
    request.header(header)?.parse().ok()
}

fn json_response(status: StatusCode, body: &impl serde::Serialize) -> Response {
    let text = serde_json::to_vec(body).expect("replies are valid JSON");
    Response::builder().status(status).content_type("application/json").body(text)
}
