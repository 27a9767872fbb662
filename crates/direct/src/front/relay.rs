//! Relays requests of callers to another node while this one reaches no server.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::Full;
use mimosabridge::{
    plan::{Repeat, Rule},
    reach::Helper,
    scatter::Failure,
    time::Time,
};

use super::respond::{self, Answer};
use crate::{
    backend::{Link, LinkError, ONCE_MAX_IDLE, Outgoing},
    events,
    node::Shared,
};

/// Marks the answer of a node that did not serve a relayed request, which has not run.
pub const NOT_SERVED: HeaderName = HeaderName::from_static("x-mimosabridge-not-served");

/// The most nodes that are asked to serve one request.
const MAX_HELPERS: usize = 3;

/// One in this many successes is logged.
const LOG_ONE_IN: u64 = 64;

/// Has another node serve a request of a caller who waits until `deadline`. Returns nothing if this
/// node reaches servers, or no other does; then the request has not run.
pub async fn relay(
    shared: &Shared,
    rule: &Rule,
    outgoing: &Outgoing,
    deadline: Time,
) -> Option<Answer> {
    for _ in 0..MAX_HELPERS {
        let now = shared.now();
        let helper = shared.state.borrow().reach.helper(&mut rand::rng(), now).cloned()?;
        let left = now.until(deadline);
        if left.is_zero() {
            return None;
        }
        let sent = tokio::time::timeout(left, send(shared, &helper, outgoing, left)).await;
        let (outcome, answer) = match sent {
            Ok(Ok(answer)) if answer.headers().contains_key(&NOT_SERVED) => ("not served", None),
            Ok(Ok(answer)) => ("answered", Some(respond::relayed(answer))),
            Ok(Err(LinkError::Exchange { source })) if !source.is_canceled() => {
                // The node may have served it.
                let may_repeat = outgoing.repeat == Repeat::Idempotent;
                ("broken", (!may_repeat).then(|| respond::failed(Failure::Broken)))
            }
            Ok(Err(LinkError::TooLong)) => ("too long", Some(respond::failed(Failure::Broken))),
            Ok(Err(_)) => ("unreachable", None),
            Err(_) => ("silent", Some(respond::failed(Failure::TimedOut))),
        };
        record(shared, rule, outgoing, &helper, outcome, answer.as_ref(), now);
        if outcome != "answered" {
            shared.state.borrow_mut().reach.on_refusal(&helper.name, shared.now());
        }
        if answer.is_some() {
            return answer;
        }
    }
    None
}

async fn send(
    shared: &Shared,
    helper: &Helper,
    outgoing: &Outgoing,
    left: Duration,
) -> Result<Response<Bytes>, LinkError> {
    let max_idle = match outgoing.repeat {
        Repeat::Idempotent => Duration::MAX,
        Repeat::Once => ONCE_MAX_IDLE,
    };
    let pooled = shared.relay_pool.take(&helper.name, max_idle, shared.now()).await;
    let mut link = match pooled {
        Some(link) => link,
        None => Link::open(helper.address, shared.now()).await?,
    };
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let left = HeaderValue::from(left.as_millis().max(1) as u64);
    request.headers_mut().insert(&shared.headers.deadline, left);
    let answer = link.exchange(request).await?;
    shared.relay_pool.keep(&helper.name, link, shared.now()).await;
    Ok(answer)
}

fn record(
    shared: &Shared,
    rule: &Rule,
    outgoing: &Outgoing,
    helper: &Helper,
    outcome: &str,
    answer: Option<&Answer>,
    began: Time,
) {
    shared.metrics.relayed.with_label_values(&[outcome]).inc();
    let status = answer.map_or(0, |it| it.status().as_u16());
    if status == 200 && !rand::random::<u64>().is_multiple_of(LOG_ONE_IN) {
        return;
    }
    events::RELAYED.emit(&[
        ("id", &String::from_utf8_lossy(outgoing.id.as_bytes())),
        ("rule", &rule.name),
        ("node", &helper.name),
        ("outcome", &outcome),
        ("status", &status),
        ("millis", &shared.now().since(began).as_millis()),
    ]);
}
