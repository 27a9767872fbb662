use std::sync::Arc;

use mimosabridge::{
    backend::TRACE_PARENT,
    outcome::Refusal,
    query::{Answer, Verdict},
    ticket::Ticket,
};
use poem::{
    Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler,
    http::{HeaderMap, StatusCode},
    post,
    web::{Data, Json, Path, RemoteAddr},
};
use serde::Serialize;

use super::{Coordinator, Home, Input, Request, callers::Registry};

/// The body of a response to input that is wrong.
#[derive(Debug, Serialize)]
struct Problem {
    error: String,
}

/// The body of a response that issues a ticket.
#[derive(Debug, Serialize)]
struct Issued {
    ticket: Ticket,
}

/// Returns the HTTP service for callers.
pub fn routes(coordinator: Arc<Coordinator>, home: Home, callers: Registry) -> impl Endpoint {
    Route::new()
        .at("/v1/query", post(query))
        .at("/v1/tickets", post(issue))
        .at("/v1/tickets/:ticket", get(find))
        .at("/health", get(health))
        .data(coordinator)
        .data(home)
        .data(callers)
}

#[handler]
async fn query(
    coordinator: Data<&Arc<Coordinator>>,
    home: Data<&Home>,
    callers: Data<&Registry>,
    caller: &RemoteAddr,
    headers: &HeaderMap,
    body: Vec<u8>,
) -> Response {
    let input = match serde_json::from_slice::<Input>(&body) {
        Ok(input) => input,
        Err(error) => {
            return error_response(
                StatusCode::BAD_REQUEST,
                format!("the body is not a query: {error}"),
            );
        }
    };
    let ticket = input.ticket.clone();
    let trace = headers.get(TRACE_PARENT).and_then(|it| it.to_str().ok()).map(str::to_owned);
    let request = Request { trace, ..input.into() };
    let answer = match (ticket, request.idempotent) {
        (Some(ticket), _) => home.submit(ticket, request).await,
        (None, false) => Answer::not_run(Refusal::TicketMissing),
        (None, true) => {
            let address = caller.as_socket_addr();
            let closed = address.and_then(|it| callers.token(*it)).unwrap_or_default();
            coordinator.serve(request, closed).await
        }
    };
    answer_response(answer)
}

#[handler]
fn issue(home: Data<&Home>) -> Response {
    match home.issue() {
        Ok(ticket) => Json(Issued { ticket }).with_status(StatusCode::CREATED).into_response(),
        Err(error) => error_response(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
    }
}

#[handler]
async fn find(home: Data<&Home>, Path(text): Path<String>) -> Response {
    let ticket: Ticket = match text.parse() {
        Ok(ticket) => ticket,
        Err(error) => {
            let error: mimosabridge::ticket::TicketError = error;
            return error_response(StatusCode::BAD_REQUEST, error.to_string());
        }
    };
    match home.answer(ticket).await {
        Some(answer) => answer_response(answer),
        None => {
            let error = "no answer is known for the ticket: its request is running, was not sent, \
                         or nobody knows";
            error_response(StatusCode::NOT_FOUND, error.to_owned())
        }
    }
}

#[handler]
fn health(coordinator: Data<&Arc<Coordinator>>) -> StatusCode {
    if coordinator.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

fn answer_response(answer: Answer) -> Response {
    Json(&answer).with_status(status(&answer)).into_response()
}

fn status(answer: &Answer) -> StatusCode {
    match (answer.verdict, &answer.refusal) {
        (Verdict::Complete | Verdict::Partial, _) => StatusCode::OK,
        (Verdict::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
        (Verdict::NotRun, Some(Refusal::NotConfigured)) => StatusCode::NOT_FOUND,
        (Verdict::NotRun, Some(Refusal::Quarantined)) => StatusCode::UNPROCESSABLE_ENTITY,
        (Verdict::NotRun, Some(Refusal::TicketMissing)) => StatusCode::BAD_REQUEST,
        (Verdict::NotRun, Some(Refusal::TicketTaken)) => StatusCode::CONFLICT,
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn error_response(status: StatusCode, error: String) -> Response {
    Json(Problem { error }).with_status(status).into_response()
}
