use std::{rc::Rc, sync::Arc, time::Duration};

use http::{HeaderValue, Request, header, request};
use hyper::body::{Body, Incoming};
use mimosabridge::plan::Rule;

use super::{
    connection::State,
    drive::drive,
    incoming::{self, Query, Rejection},
    relay::NOT_SERVED,
    respond::{self, Answer},
};
use crate::{events, node::Shared};

/// The `Retry-After` time of a node that has no configuration yet.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);

/// The `Retry-After` time of a node that reaches no server.
const UNREACHED_RETRY: Duration = Duration::from_millis(500);

/// The requests that were refused while their content was examined return within this time: the
/// first of them shows whether it still ends servers.
const EXAMINED_JITTER: Duration = Duration::from_millis(600);

/// The `Retry-After` time of a content that crashes servers, as long as crashes are remembered.
const QUARANTINED_RETRY: Duration = Duration::from_secs(300);

/// Why a request is refused that a stopping node could not answer in time.
const STOPPING: &str = "this node is about to stop";

/// Who sends a request to this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another node, for a caller of its own, as it reaches no server.
    Node,
}

/// Serves one request.
pub async fn serve(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    origin: Origin,
    connection: &State,
) -> Answer {
    let running = Running::new(shared.clone());
    let id = request.headers().get(&shared.headers.request_id).cloned();
    let mut answer = match answer(&shared, request, origin, connection).await {
        Ok(answer) => answer,
        Err(mut answer) => {
            if origin == Origin::Node {
                answer.headers_mut().insert(NOT_SERVED, HeaderValue::from_static("1"));
            }
            answer
        }
    };
    if let (Origin::Node, Some(id)) = (origin, id) {
        answer.headers_mut().insert(&shared.headers.request_id, id);
    }
    if shared.state.borrow().stop.is_some() || origin == Origin::Caller && shared.is_stranded() {
        // Makes the caller send its next request to another node.
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    drop(running);
    answer
}

/// Returns the answer to a request. It is an error if this node can't serve the request, and
/// another one may.
async fn answer(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    origin: Origin,
    connection: &State,
) -> Result<Answer, Answer> {
    let (head, body) = request.into_parts();
    connection.set_whole(body.is_end_stream());
    let id = id(&head, shared);
    let Some(plan) = shared.plan() else {
        events::REFUSED.emit(&[("id", &id), ("reason", &"no configuration is known yet")]);
        return Err(respond::refused(UNCONFIGURED_RETRY, "this node has just started"));
    };
    let rule = match incoming::find_rule(&head, &plan) {
        Ok(rule) => rule,
        Err(rejection) => return Err(reject(&id, plan.version(), None, rejection)),
    };
    let plan = Arc::new(plan.without_rules());
    let query = tokio::select! {
        query = incoming::read(head, body, rule.clone(), &plan, &shared.headers) => query,
        () = shared.answers_due() => {
            events::REFUSED.emit(&[("id", &id), ("rule", &rule.name), ("reason", &STOPPING)]);
            return Err(respond::refused(Duration::ZERO, STOPPING));
        }
    };
    let query = match query {
        Ok(query) => query,
        Err(rejection) => return Err(reject(&id, plan.version(), Some(&rule), rejection)),
    };
    connection.set_whole(true);
    let now = shared.now();
    let log_refused = |reason: &str| {
        events::REFUSED.emit(&[
            ("id", &id),
            ("rule", &rule.name),
            ("version", &plan.version()),
            ("fingerprint", &query.fingerprint),
            ("reason", &reason),
        ]);
    };
    if let Some(retry_after) = stop_refusal(shared, &query) {
        log_refused(STOPPING);
        return Err(respond::refused(retry_after, STOPPING));
    }
    if shared.state.borrow().quarantine.is_quarantined(query.fingerprint, now) {
        shared.metrics.quarantine_refusals.inc();
        log_refused("the content crashes servers");
        return Ok(respond::refused(QUARANTINED_RETRY, "this content crashes backend servers"));
    }
    if let Some(until) = shared.examined_until(query.fingerprint) {
        log_refused("the content was just lost at several servers, which are examined");
        let retry_after = now.until(until) + EXAMINED_JITTER.mul_f64(rand::random());
        return Ok(respond::refused(retry_after, "this content may crash backend servers"));
    }
    if origin == Origin::Node && shared.has_lost_servers() {
        events::REFUSED.emit(&[("id", &id), ("reason", &"no server answers this node, either")]);
        return Err(respond::refused(UNREACHED_RETRY, "no server answers this node"));
    }
    Ok(drive(shared.clone(), plan, query, id, origin).await)
}

/// Returns how long the caller should wait, if this node stops before it could answer a request.
fn stop_refusal(shared: &Shared, query: &Query) -> Option<Duration> {
    let now = shared.now();
    let state = &mut *shared.state.borrow_mut();
    let stop = state.stop?;
    let rule = &query.rule;
    let relayed = state.relayed.longest(&rule.name, state.reach.is_lost(), now);
    let longest = state.balancer.longest_latency(rule, now).max(relayed);
    let is_admitted = stop.admits(rule, longest, query.caller_timeout, now);
    (!is_admitted).then(|| stop.retry_after(now))
}

fn reject(id: &str, version: u64, rule: Option<&Rule>, (status, text): Rejection) -> Answer {
    events::REJECTED.emit(&[
        ("id", &id),
        ("version", &version),
        ("rule", &rule.map_or("", |it| it.name.as_str())),
        ("status", &status.as_u16()),
        ("reason", &text),
    ]);
    respond::plain_text(status, text)
}

fn id(head: &request::Parts, shared: &Shared) -> String {
    let id = head.headers.get(&shared.headers.request_id);
    id.map_or_else(String::new, |it| String::from_utf8_lossy(it.as_bytes()).into_owned())
}

/// Counts a request as in progress until dropped.
struct Running {
    shared: Rc<Shared>,
}

impl Running {
    fn new(shared: Rc<Shared>) -> Running {
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        state.load.requests += 1;
        if let Some(stop) = &mut state.stop {
            stop.on_request(now);
        }
        drop(state);
        shared.metrics.under_way.inc();
        Running { shared }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().load.requests -= 1;
        self.shared.metrics.under_way.dec();
    }
}
