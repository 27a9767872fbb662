use http::{HeaderMap, HeaderValue, StatusCode, header};
use mimosabridge::scatter::End;

use super::{History, Identity};
use crate::wire::{self, Headers};

/// Classifies the end of an attempt by the head of a complete answer, over a connection with a
/// history.
///
/// The identity comes before the status: a late copy of any earlier answer, also of a rejection, may
/// arrive in the place of the answer.
pub fn classify(
    status: StatusCode,
    headers: &HeaderMap,
    id: &HeaderValue,
    history: History,
    names: &Headers,
) -> End {
    if !wire::is_final(status) {
        return End::Invalid;
    }
    let identity = Identity::new(headers, &names.request_id, id);
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    let is_rejection = is_misdirected || headers.contains_key(&names.not_run);
    match identity {
        Identity::Other => return End::Invalid,
        // It may be a copy of the rejection of an earlier request.
        Identity::Missing if is_rejection && history == History::Used => return End::Invalid,
        Identity::Missing | Identity::Own => {}
    }
    if is_misdirected {
        return End::Misdirected;
    }
    if is_rejection {
        return End::Shed;
    }
    let is_signed = headers.contains_key(&names.signature);
    // No encoding was requested, so an encoded body does not come from the server.
    if !is_signed || headers.contains_key(header::CONTENT_ENCODING) {
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
