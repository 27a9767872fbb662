//! Relays requests of callers to another node while this one reaches no server.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::Full;
use mimosabridge::{
    plan::Rule,
    reach::{Ending, Helper, Relay, Step},
    time::Time,
};

use super::{
    notices,
    respond::{self, Answer},
};
use crate::{
    backend::{Identity, LinkError, Outgoing},
    events,
    node::Shared,
    wire::{self, Headers},
};

/// Marks the answer of a node that did not serve a relayed request, which has not run.
pub const NOT_SERVED: HeaderName = HeaderName::from_static("x-mimosabridge-not-served");

/// Has another node serve a request of a caller who waits until `deadline`. Returns nothing if this
/// node reaches servers, or no other does; then the request has not run.
pub async fn relay(
    shared: &Shared,
    rule: &Rule,
    outgoing: &Outgoing,
    deadline: Time,
) -> Option<Answer> {
    let mut relay = Relay::new();
    loop {
        let now = shared.now();
        let left = now.until(deadline);
        let helper = shared.state.borrow().reach.helper(&mut rand::rng(), now).cloned();
        let (answer, step) = match helper.filter(|_| !left.is_zero()) {
            None => (None, Step::Keep),
            Some(helper) => {
                let work = send(shared, &helper, outgoing, deadline);
                let sent = tokio::select! {
                    sent = tokio::time::timeout(left, work) => sent.ok(),
                    () = shared.answers_due() => None,
                };
                let (ending, answer) = classify(sent, outgoing, &shared.headers);
                record(shared, rule, outgoing, &helper, ending, answer.as_ref(), now);
                if let Some(answer) = &answer {
                    notices::record(shared, answer);
                    record_latency(shared, rule, answer, now);
                }
                if !matches!(ending, Ending::Answered | Ending::Refused) {
                    shared.state.borrow_mut().reach.on_refusal(&helper.name, shared.now());
                }
                (answer, relay.on_end(ending))
            }
        };
        match step {
            Step::Another => {}
            Step::Pass => return answer.map(respond::relayed),
            Step::Fail(failure) => return Some(respond::failed(failure)),
            Step::Keep => return None,
        }
    }
}

/// Classifies the end of a request at another node, which is nothing if it took too long. Nodes of
/// earlier versions name no request in the answers that they make themselves.
fn classify(
    sent: Option<Result<Response<Bytes>, LinkError>>,
    outgoing: &Outgoing,
    names: &Headers,
) -> (Ending, Option<Response<Bytes>>) {
    let identity = |it: &Response<_>| Identity::new(it.headers(), &names.request_id, &outgoing.id);
    match sent {
        None => (Ending::Silent, None),
        Some(Ok(answer)) if identity(&answer) == Identity::Other => (Ending::Broken, None),
        // Nodes of earlier versions pass it on.
        Some(Ok(answer)) if !wire::is_final(answer.status()) => (Ending::Broken, None),
        Some(Ok(answer)) => {
            let is_marked = answer.headers().contains_key(&NOT_SERVED);
            let is_named = identity(&answer) == Identity::Own;
            match Ending::of_answer(answer.status().as_u16(), is_marked, is_named) {
                ending @ (Ending::Answered | Ending::Refused) => (ending, Some(answer)),
                ending => (ending, None),
            }
        }
        Some(Err(LinkError::Exchange { source })) if !source.is_canceled() => {
            (Ending::Broken, None)
        }
        Some(Err(LinkError::TooLong)) => (Ending::Broken, None),
        Some(Err(_)) => (Ending::NotServed, None),
    }
}

async fn send(
    shared: &Shared,
    helper: &Helper,
    outgoing: &Outgoing,
    deadline: Time,
) -> Result<Response<Bytes>, LinkError> {
    let pooled = shared.relay_pool.take(&helper.name, outgoing, shared.now()).await;
    let mut link = match pooled {
        Some(link) => link,
        None => shared.relay_pool.open(helper.address, shared.now()).await?,
    };
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let left = shared.now().until(deadline);
    let left = HeaderValue::from(left.as_millis().max(1) as u64);
    request.headers_mut().insert(&shared.headers.deadline, left);
    let answer = link.exchange(request).await?;
    let is_leaving = wire::closes(answer.headers());
    shared.state.borrow_mut().reach.on_helped(&helper.name, is_leaving, shared.now());
    if is_leaving {
        shared.relay_pool.close_all(&helper.name);
    }
    let id = &outgoing.id;
    if Identity::new(answer.headers(), &shared.headers.request_id, id) != Identity::Other {
        shared.relay_pool.keep(&helper.name, link, id, shared.now()).await;
    }
    Ok(answer)
}

/// Records for how long a request took that the other node served.
fn record_latency(shared: &Shared, rule: &Rule, answer: &Response<Bytes>, began: Time) {
    if answer.status().is_success() {
        let now = shared.now();
        shared.state.borrow_mut().relayed.record(&rule.name, now.since(began), now);
    }
}

fn record(
    shared: &Shared,
    rule: &Rule,
    outgoing: &Outgoing,
    helper: &Helper,
    ending: Ending,
    answer: Option<&Response<Bytes>>,
    began: Time,
) {
    let outcome = label(ending);
    shared.metrics.relayed.with_label_values(&[outcome]).inc();
    let status = answer.map_or(0, |it| it.status().as_u16());
    events::RELAYED.emit(&[
        ("id", &String::from_utf8_lossy(outgoing.id.as_bytes())),
        ("rule", &rule.name),
        ("node", &helper.name),
        ("outcome", &outcome),
        ("status", &status),
        ("millis", &shared.now().since(began).as_millis()),
    ]);
}

fn label(ending: Ending) -> &'static str {
    match ending {
        Ending::Answered => "answered",
        Ending::Refused => "refused",
        Ending::NotServed => "not_served",
        Ending::Broken => "broken",
        Ending::Silent => "silent",
    }
}
