use std::{net::SocketAddr, time::Duration};

use mimosabridge::{
    backend::{DEADLINE_MS, Health, REQUEST_ID, Reason, Refused, Reply, SNAPSHOT, TRACE_PARENT},
    gate::Completion,
    outcome::{self, Failure, Outcome, Refusal},
};
use reqwest::{RequestBuilder, Response, StatusCode};
use snafu::{ResultExt, Snafu};

use super::Request;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a server may take to report its health.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after its deadline an unanswered request may keep its connection.
const OVERDUE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an idle connection stays open: opening one costs more than keeping it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// The longest body of an answer. A gate holds tens of answers at a time.
const MAX_BODY_BYTES: usize = 1_024 * 1_024;

/// The HTTP client of one server.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    idle: usize,
    work: reqwest::Client,
    poll: reqwest::Client,
    probe: reqwest::Client,
}

/// A server did not report its health.
#[derive(Debug, Snafu)]
pub struct HealthError {
    source: reqwest::Error,
}

impl Client {
    /// Creates a client that keeps at most `idle` connections for searches open.
    pub fn new(address: SocketAddr, idle: usize) -> Client {
        Client { address, idle, work: build(idle), poll: build(1), probe: build(0) }
    }

    /// Returns where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all idle connections. Requests that are under way keep theirs.
    pub fn close_idle(&mut self) {
        self.work = build(self.idle);
    }

    /// Sends a search and returns how it ended.
    pub async fn search(&self, request: Request) -> Completion {
        let url = format!("http://{}/shards/{}/search", self.address, request.shard);
        let mut builder = self
            .work
            .post(url)
            .timeout(request.budget + OVERDUE_TIMEOUT)
            .header(REQUEST_ID, &request.id)
            .header(DEADLINE_MS, request.budget.as_millis().max(1) as u64)
            .header(SNAPSHOT, request.snapshot);
        if let Some(trace) = &request.trace {
            builder = builder.header(TRACE_PARENT, trace);
        }
        let id = request.id;
        exchange(builder.body(request.query.get().to_owned()), &id).await
    }

    /// Asks the server to stop a request whose answer is no longer needed.
    pub async fn cancel(&self, id: &str) {
        let url = format!("http://{}/requests/{id}", self.address);
        // If this does not reach the server, it stops at the deadline anyway.
        let _ = self.work.delete(url).timeout(HEALTH_TIMEOUT).send().await;
    }

    /// Asks the server for its health over a connection that is reserved for this. If that fails,
    /// tries a new connection, since the old one may be the cause.
    pub async fn poll(&self) -> Result<Health, HealthError> {
        match self.ask_health(&self.poll).await {
            Ok(health) => Ok(health),
            Err(_) => self.probe().await,
        }
    }

    /// Asks the server for its health over a new connection.
    pub async fn probe(&self) -> Result<Health, HealthError> {
        self.ask_health(&self.probe).await
    }

    async fn ask_health(&self, client: &reqwest::Client) -> Result<Health, HealthError> {
        let url = format!("http://{}/health", self.address);
        let response = client.get(url).timeout(HEALTH_TIMEOUT).send().await;
        let response = response.and_then(|it| it.error_for_status()).context(HealthSnafu)?;
        response.json().await.context(HealthSnafu)
    }
}

fn build(idle: usize) -> reqwest::Client {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .http1_only()
        .no_proxy()
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .build()
        .expect("building a client without TLS does not fail")
}

async fn exchange(builder: RequestBuilder, id: &str) -> Completion {
    let response = match builder.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return refused(Refusal::Unreachable),
        Err(error) if error.is_timeout() => return failed(Failure::TimedOut),
        Err(_) => return failed(Failure::Broken),
    };
    let status = response.status();
    let body = match read_body(response).await {
        Ok(Some(body)) => body,
        Ok(None) => return failed(Failure::BadReply),
        Err(error) if error.is_timeout() => return failed(Failure::TimedOut),
        Err(_) => return failed(Failure::Broken),
    };
    match status {
        StatusCode::OK => read_reply(&body, id),
        StatusCode::SERVICE_UNAVAILABLE => read_refusal(&body, id),
        StatusCode::REQUEST_TIMEOUT => failed(Failure::Cancelled),
        _ => failed(Failure::ServerError),
    }
}

/// Reads the body of an answer. Returns `None` if it is longer than [`MAX_BODY_BYTES`].
async fn read_body(mut response: Response) -> Result<Option<Vec<u8>>, reqwest::Error> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_BODY_BYTES {
            return Ok(None);
        }
    }
    Ok(Some(body))
}

fn read_reply(body: &[u8], id: &str) -> Completion {
    let Ok(reply) = serde_json::from_slice::<Reply>(body) else {
        return failed(Failure::BadReply);
    };
    if reply.request_id != id {
        return failed(Failure::BadReply);
    }
    let outcome = Outcome::Served(outcome::Reply {
        snapshot: reply.snapshot,
        holds: reply.holds,
        hits: reply.hits,
    });
    Completion { outcome, report: Some(reply.server) }
}

/// Reads a refusal. One that cannot be parsed does not prove that the request was not run, so it
/// counts as a failure with an unknown outcome.
fn read_refusal(body: &[u8], id: &str) -> Completion {
    let Ok(refused) = serde_json::from_slice::<Refused>(body) else {
        return failed(Failure::ServerError);
    };
    if refused.request_id != id {
        return failed(Failure::BadReply);
    }
    let refusal = match refused.reason {
        Reason::Shed => Refusal::Shed,
        Reason::Leaving => Refusal::ServerLeaving,
        Reason::NotHeld => Refusal::NotHeld(refused.holds),
        Reason::Expired => Refusal::Expired,
    };
    Completion { outcome: Outcome::Refused(refusal), report: Some(refused.server) }
}

fn refused(refusal: Refusal) -> Completion {
    Completion { outcome: Outcome::Refused(refusal), report: None }
}

fn failed(failure: Failure) -> Completion {
    Completion { outcome: Outcome::Failed(failure), report: None }
}
