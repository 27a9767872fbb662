use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use mimosabridge::scatter::Failure;

use super::{notices, relay::NOT_SERVED};
use crate::{
    backend::Reply,
    wire::{self, Headers},
};

/// The answer to a caller.
pub type Answer = Response<Full<Bytes>>;

/// Returns an answer in plain text that this node itself makes.
pub fn plain_text(status: StatusCode, text: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *answer.status_mut() = status;
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    answer.headers_mut().insert(header::CONTENT_TYPE, text);
    answer
}

/// Returns the answer to a request that has not run and will not run.
pub fn refused(retry_after: Duration, text: &str) -> Answer {
    let mut answer = plain_text(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    let seconds = HeaderValue::from_str(&seconds).expect("a number is a valid header");
    answer.headers_mut().insert(header::RETRY_AFTER, seconds);
    answer
}

/// Returns the answer to a request that failed and may have run.
pub fn failed(failure: Failure) -> Answer {
    match failure {
        Failure::Broken => plain_text(StatusCode::BAD_GATEWAY, "servers gave no sound answer"),
        Failure::TimedOut => plain_text(StatusCode::GATEWAY_TIMEOUT, "no answer came in time"),
    }
}

/// Returns the answer of a server without its hop-by-hop headers and those by which nodes tell one
/// another something, otherwise unchanged.
pub fn pass(reply: Reply) -> Answer {
    let mut answer = Response::new(Full::new(reply.body));
    *answer.status_mut() = reply.status;
    *answer.headers_mut() = reply.headers;
    wire::strip(answer.headers_mut());
    notices::strip(answer.headers_mut());
    answer.headers_mut().remove(NOT_SERVED);
    answer
}

/// Returns the answer of another node without the headers for this node alone, otherwise unchanged.
pub fn relayed(answer: Response<Bytes>) -> Answer {
    let mut answer = answer.map(Full::new);
    wire::strip(answer.headers_mut());
    notices::strip(answer.headers_mut());
    answer
}

/// Returns the merged answer of several servers.
pub fn merged(body: Vec<u8>, parts: &[&Reply], missing: usize, names: &Headers) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    let headers = answer.headers_mut();
    let signatures: Vec<_> = parts.iter().filter_map(|it| it.signature.as_ref()).collect();
    let signatures: Vec<_> = signatures.iter().map(|it| it.as_bytes()).collect();
    let signatures = HeaderValue::from_bytes(&signatures.join(&b", "[..]));
    let signatures = signatures.expect("valid headers joined by a comma are valid");
    headers.insert(&names.part_signatures, signatures);
    headers.insert(&names.missing_shards, HeaderValue::from(missing as u64));
    let binary = HeaderValue::from_static("application/octet-stream");
    headers.insert(header::CONTENT_TYPE, binary);
    answer
}
