use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{StatusCode, header, request};
use http_body_util::{LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use mimosabridge::{
    fingerprint::Fingerprint,
    name::Name,
    plan::{Plan, Rule},
};

use crate::{
    backend::Outgoing,
    wire::{self, Headers},
};

/// How long reading a request body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A valid request of a caller.
pub struct Query {
    /// The rule that matches the request.
    pub rule: Arc<Rule>,
    /// How long the caller waits for the answer.
    pub caller_timeout: Duration,
    /// The request as it is sent to backend servers.
    pub outgoing: Outgoing,
    /// Identifies the content of the request, for the quarantine.
    pub fingerprint: Fingerprint,
}

/// Why a request is invalid: a status and a message for the caller.
pub type Rejection = (StatusCode, &'static str);

/// Returns the rule that matches the host and the path of a request. Only the head is read.
pub fn find_rule(head: &request::Parts, plan: &Plan) -> Result<Arc<Rule>, Rejection> {
    let host = head.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| head.uri.host());
    let Some(host) = host else { return Err((StatusCode::BAD_REQUEST, "the host is missing")) };
    let rule = plan.find(host, head.uri.path()).cloned();
    rule.ok_or((StatusCode::NOT_FOUND, "no rule serves this host and path"))
}

/// Validates the head of a request and reads its body.
pub async fn read(
    head: request::Parts,
    body: Incoming,
    rule: Arc<Rule>,
    plan: &Plan,
    names: &Headers,
) -> Result<Query, Rejection> {
    let Some(id) = head.headers.get(&names.request_id).cloned() else {
        return Err((StatusCode::BAD_REQUEST, "the identity of the request is missing"));
    };
    let caller_timeout = match head.headers.get(&names.deadline) {
        None => rule.timeout,
        Some(text) => match text.to_str().ok().and_then(|it| it.trim().parse::<u64>().ok()) {
            Some(millis) => Duration::from_millis(millis),
            None => return Err((StatusCode::BAD_REQUEST, "the deadline is not a number")),
        },
    };
    let body = read_body(body, plan.limits().body_bytes).await?;
    let target = head.uri.path_and_query().map_or("/", |it| it.as_str());
    let content = [head.method.as_str().as_bytes(), target.as_bytes(), &body].join(&b' ');
    let fingerprint = Fingerprint::new(&Name::new(rule.host.as_str()), &content);
    let target = target.parse();
    let target = target.map_err(|_| (StatusCode::BAD_REQUEST, "the path is not valid"))?;
    let mut headers = head.headers;
    wire::strip(&mut headers);
    headers.remove(&names.expected_server);
    let repeat = rule.repeat;
    let outgoing = Outgoing { method: head.method, target, headers, body, id, repeat };
    Ok(Query { rule, caller_timeout, outgoing, fingerprint })
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Rejection> {
    const TOO_LARGE: Rejection = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(TOO_LARGE);
    }
    let read = wire::collect(Limited::new(body, max_bytes));
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(TOO_LARGE),
        Ok(Err(_)) => Err((StatusCode::BAD_REQUEST, "the body can't be read")),
        Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "the body took too long")),
    }
}
