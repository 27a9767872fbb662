use std::sync::Arc;

use mimosabridge::query::{Answer, Verdict};
use poem::{
    Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json},
};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use super::{Front, Input, Request, session::Session};

/// The body of a refusal.
#[derive(Debug, Serialize)]
struct Problem {
    error: String,
}

/// Returns the HTTP service for callers.
pub fn routes(front: Arc<Front>) -> impl Endpoint {
    Route::new().at("/v1/query", post(query)).at("/health", get(health)).data(front)
}

#[handler]
async fn query(front: Data<&Arc<Front>>, body: Vec<u8>) -> Response {
    let front = front.0.clone();
    let request: Request = match serde_json::from_slice::<Input>(&body) {
        Ok(input) => input.into(),
        Err(error) => {
            return problem(StatusCode::BAD_REQUEST, format!("the body is not a query: {error}"));
        }
    };
    let view = front.view();
    let Some(bundle) = &view.config else {
        let error = "no configuration is in force yet; the request was not run".to_owned();
        return problem(StatusCode::SERVICE_UNAVAILABLE, error);
    };
    let Some(rule) = bundle.set.rules.get(&request.rule).cloned() else {
        let error = format!("there is no rule \"{}\"; the request was not run", request.rule);
        return problem(StatusCode::NOT_FOUND, error);
    };
    // Dropping this future, as happens when the caller goes, drops the guard and cancels.
    let cancelled = CancellationToken::new();
    let _guard = cancelled.clone().drop_guard();
    let session = Session::new(front, request, rule, view);
    match tokio::spawn(session.run(cancelled)).await {
        Ok(Some(answer)) => answered(answer),
        _ => problem(StatusCode::INTERNAL_SERVER_ERROR, "the request failed".to_owned()),
    }
}

#[handler]
fn health(front: Data<&Arc<Front>>) -> StatusCode {
    if front.view().config.is_some() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

fn answered(answer: Answer) -> Response {
    let status = match answer.verdict {
        Verdict::Complete | Verdict::Partial => StatusCode::OK,
        Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Verdict::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    Json(answer).with_status(status).into_response()
}

fn problem(status: StatusCode, error: String) -> Response {
    Json(Problem { error }).with_status(status).into_response()
}
