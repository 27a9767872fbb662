use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri};
use http_body_util::Full;
use mimosabridge::{
    balance::Stated,
    plan::Repeat,
    scatter::{Attempt, End},
};
use mimosabridge_node::clock::Clock;

use super::{Identity, LinkError, Notice, Pool, Reply, classify};
use crate::{events, wire::Headers};

/// A request as it is sent to servers, without the headers that differ between attempts.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub target: Uri,
    /// The headers of the caller that are forwarded.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The identity of the request.
    pub id: HeaderValue,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct Completion {
    /// How the attempt ended.
    pub end: End,
    /// The complete answer, if there is one.
    pub reply: Option<Reply>,
    /// Why there is none.
    pub error: Option<LinkError>,
}

impl Completion {
    /// Creates the result of an attempt without an answer.
    pub fn new(end: End) -> Completion {
        Completion { end, reply: None, error: None }
    }

    fn with_error(end: End, error: LinkError) -> Completion {
        Completion { error: Some(error), ..Completion::new(end) }
    }
}

/// Makes one attempt. Dropping the future closes the connection, which cancels the server's work.
pub async fn exchange(
    pool: &Pool,
    clock: Clock,
    names: &Headers,
    attempt: &Attempt,
    outgoing: &Outgoing,
) -> Completion {
    let server = &attempt.server.id;
    let mut link = match pool.take(server, outgoing, clock.now()).await {
        Some(link) => link,
        None => match pool.open(attempt.server.address, clock.now()).await {
            Ok(link) => link,
            Err(error) => {
                // Idle connections to a server that accepts no new ones are useless.
                pool.close_all(server);
                return Completion::with_error(End::Unsent, error);
            }
        },
    };
    let budget = attempt.budget.saturating_sub(clock.now().since(attempt.sent));
    if budget.is_zero() {
        return Completion::new(End::Unsent);
    }
    let request = build(names, attempt, outgoing, budget);
    link.pass_over_copies(&names.request_id);
    let answered = link.exchange(request).await;
    let copies = link.take_copies();
    if copies > 0 {
        let id = String::from_utf8_lossy(outgoing.id.as_bytes());
        events::COPY.emit(&[("id", &id), ("server", server), ("copies", &copies)]);
    }
    match answered {
        Ok(response) => {
            let id = &outgoing.id;
            let end = classify(response.status(), response.headers(), id, link.history(), names);
            match end {
                End::Invalid => {}
                // The connections lead to another server.
                End::Misdirected => pool.close_all(server),
                _ => pool.keep(server, link, id, clock.now()).await,
            }
            let is_own = Identity::new(response.headers(), &names.request_id, id) == Identity::Own;
            let reply = reply(response, names);
            let is_resting = end == End::Shed && is_own && reply.notice.rest.is_some();
            let end = if is_resting { End::Resting } else { end };
            Completion { end, reply: Some(reply), error: None }
        }
        Err(error) => Completion::with_error(end_of_error(&error), error),
    }
}

/// Returns how an attempt ended whose exchange failed.
fn end_of_error(error: &LinkError) -> End {
    match error {
        LinkError::Connect { .. } | LinkError::ConnectTimeout => End::Unsent,
        LinkError::TooLong => End::Invalid,
        LinkError::Exchange { source } if source.is_canceled() => End::Unsent,
        LinkError::Exchange { source } if source.is_parse() => End::Invalid,
        LinkError::Exchange { .. } => End::Broken,
    }
}

fn build(
    names: &Headers,
    attempt: &Attempt,
    outgoing: &Outgoing,
    budget: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    let mut headers = outgoing.headers.clone();
    headers.insert(&names.deadline, HeaderValue::from(budget.as_millis().max(1) as u64));
    let expected = HeaderValue::from_str(attempt.server.id.as_str());
    if let Ok(expected) = expected {
        headers.insert(&names.expected_server, expected);
    }
    *request.headers_mut() = headers;
    request
}

fn reply(response: Response<Bytes>, names: &Headers) -> Reply {
    let (head, body) = response.into_parts();
    let signature = head.headers.get(&names.signature).cloned();
    let stated = stated(&head.headers, names);
    let notice = Notice::new(head.status, &head.headers, names);
    Reply { status: head.status, headers: head.headers, body, signature, stated, notice }
}

/// Returns what a server says of the requests that it takes, or `None` if that is not a valid
/// number.
fn stated(headers: &HeaderMap, names: &Headers) -> Option<Stated> {
    let Some(value) = headers.get(&names.server_limit) else { return Some(Stated::NoLimit) };
    let limit = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    let limit = limit.filter(|it: &f64| it.is_finite() && *it >= 0.0);
    if limit.is_none() {
        events::TROUBLE.emit(&[
            ("operation", &"read the limit of a server"),
            ("error", &format_args!("{value:?} is not a number from 0 up")),
        ]);
    }
    limit.map(Stated::Limit)
}
