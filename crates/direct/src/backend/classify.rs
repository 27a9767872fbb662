use http::{HeaderMap, HeaderValue, StatusCode, header};
use mimosabridge::scatter::End;

use crate::wire::Headers;

/// Returns what the head of a whole answer says of the request that it answers.
pub fn classify(status: StatusCode, headers: &HeaderMap, id: &HeaderValue, names: &Headers) -> End {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return End::Misdirected;
    }
    if headers.contains_key(&names.not_run) {
        return End::Shed;
    }
    let is_other = headers.get(&names.request_id).is_some_and(|it| it != id);
    let is_signed = headers.contains_key(&names.signature);
    // Nobody asked for an encoding, so that an encoded body is not the server's.
    if is_other || !is_signed || headers.contains_key(header::CONTENT_ENCODING) {
        return End::Invalid;
    }
    match status {
        // Towards a caller these would promise that the request has not run.
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => End::Invalid,
        it if it.is_success() => End::Served,
        _ => End::Failed,
    }
}
