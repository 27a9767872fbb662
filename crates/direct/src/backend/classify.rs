use http::{HeaderMap, HeaderValue, StatusCode, header};
use mimosabridge::scatter::End;

use crate::wire::Headers;

/// Classifies the end of an attempt by the head of a complete answer.
pub fn classify(status: StatusCode, headers: &HeaderMap, id: &HeaderValue, names: &Headers) -> End {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return End::Misdirected;
    }
    if headers.contains_key(&names.not_run) {
        return End::Shed;
    }
    let is_for_other = headers.get(&names.request_id).is_some_and(|it| it != id);
    let is_signed = headers.contains_key(&names.signature);
    // No encoding was requested, so an encoded body does not come from the server.
    if is_for_other || !is_signed || headers.contains_key(header::CONTENT_ENCODING) {
        return End::Invalid;
    }
    match status {
        // To a caller these statuses would mean that the request has not run.
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => End::Invalid,
        it if it.is_success() => End::Served,
        _ => End::Failed,
    }
}
