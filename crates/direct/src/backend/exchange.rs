use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri};
use http_body_util::Full;
use mimosabridge::{
    plan::Repeat,
    scatter::{Attempt, End},
};
use mimosabridge_node::clock::Clock;

use super::{Link, LinkError, Pool, Reply, classify};
use crate::wire::Headers;

/// How recently a connection must have been used to carry a request that may not be sent twice: a
/// connection may have gone silent or be about to be closed.
const ONCE_FRESHNESS: Duration = Duration::from_millis(1_000);

/// A request as it goes to servers, but for what differs between attempts.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub target: Uri,
    /// The headers of the caller that are passed on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The identity of the request.
    pub id: HeaderValue,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
}

/// How an attempt ended, and with what.
#[derive(Debug)]
pub struct Ending {
    /// What it says of the request.
    pub end: End,
    /// The whole answer, if one came.
    pub reply: Option<Reply>,
    /// Why none came.
    pub error: Option<LinkError>,
}

impl Ending {
    /// Creates the end of an attempt without an answer.
    pub fn new(end: End) -> Ending {
        Ending { end, reply: None, error: None }
    }

    fn with_error(end: End, error: LinkError) -> Ending {
        Ending { error: Some(error), ..Ending::new(end) }
    }
}

/// Makes one attempt. Dropping the future closes the connection, which stops the server's work.
pub async fn exchange(
    pool: &Pool,
    clock: Clock,
    names: &Headers,
    attempt: &Attempt,
    outgoing: &Outgoing,
) -> Ending {
    let server = &attempt.server.id;
    let freshness = match outgoing.repeat {
        Repeat::Idempotent => Duration::MAX,
        Repeat::Once => ONCE_FRESHNESS,
    };
    let kept = pool.take(server, freshness, clock.now()).await;
    let mut link = match kept {
        Some(link) => link,
        None => match Link::open(attempt.server.address, clock.now()).await {
            Ok(link) => link,
            Err(error) => {
                // Kept connections to a server that takes no new ones lead nowhere.
                pool.drop_all(server);
                return Ending::with_error(End::Unsent, error);
            }
        },
    };
    let budget = attempt.budget.saturating_sub(clock.now().since(attempt.sent));
    if budget.is_zero() {
        return Ending::new(End::Unsent);
    }
    let request = build(names, attempt, outgoing, budget);
    match link.exchange(request).await {
        Ok(response) => {
            let end = classify(response.status(), response.headers(), &outgoing.id, names);
            if end != End::Invalid {
                pool.keep(server, link, clock.now()).await;
            }
            Ending { end, reply: Some(reply(response, names)), error: None }
        }
        Err(error) => Ending::with_error(end_of(&error), error),
    }
}

/// Returns what a failed exchange says of the request.
fn end_of(error: &LinkError) -> End {
    match error {
        LinkError::Connect { .. } | LinkError::ConnectTimeout => End::Unsent,
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
    Reply { status: head.status, headers: head.headers, body, signature }
}
