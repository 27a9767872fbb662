//! The classification of an attempt by the head of its answer.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use mimosabridge::scatter::End;
use mimosabridge_direct::backend::{History, classify};
use rstest::rstest;

use crate::env::headers;

#[rstest]
#[case::success(200, &[("x-signature", "s"), ("x-id", "r")], End::Served)]
#[case::no_identity(200, &[("x-signature", "s")], End::Served)]
#[case::unsigned(200, &[("x-id", "r")], End::Invalid)]
#[case::other_request(200, &[("x-signature", "s"), ("x-id", "q")], End::Invalid)]
#[case::encoded(200, &[("x-signature", "s"), ("content-encoding", "gzip")], End::Invalid)]
#[case::failure(500, &[("x-signature", "s"), ("x-id", "r")], End::Failed)]
#[case::late(504, &[("x-signature", "s")], End::Failed)]
#[case::shed(503, &[("x-refused", "1")], End::Shed)]
#[case::no_promise_503(503, &[("x-signature", "s")], End::Invalid)]
#[case::no_promise_429(429, &[("x-signature", "s")], End::Invalid)]
#[case::no_promise_408(408, &[("x-signature", "s")], End::Invalid)]
#[case::misdirected(421, &[], End::Misdirected)]
#[case::shed_other(503, &[("x-refused", "1"), ("x-id", "q")], End::Invalid)]
#[case::busy_other(429, &[("x-refused", "1"), ("x-id", "q")], End::Invalid)]
#[case::misdirected_other(421, &[("x-id", "q")], End::Invalid)]
#[case::status_101(101, &[("x-signature", "s"), ("x-id", "r")], End::Invalid)]
#[case::status_600(600, &[("x-signature", "s"), ("x-id", "r")], End::Invalid)]
#[case::status_999(999, &[("x-signature", "s"), ("x-id", "r")], End::Invalid)]
#[case::shed_600(600, &[("x-refused", "1"), ("x-id", "r")], End::Invalid)]
#[case::two_identities(503, &[("x-refused", "1"), ("x-id", "r"), ("x-id", "q")], End::Invalid)]
fn by_head(#[case] status: u16, #[case] fields: &[(&str, &str)], #[case] expected: End) {
    assert_eq!(classified(status, fields, History::New), expected);
}

/// Guards against a rejection that names no request and belongs to an earlier one.
#[rstest]
#[case::shed(503, &[("x-refused", "1")], End::Invalid)]
#[case::misdirected(421, &[], End::Invalid)]
#[case::own_shed(503, &[("x-refused", "1"), ("x-id", "r")], End::Shed)]
#[case::own_misdirected(421, &[("x-id", "r")], End::Misdirected)]
#[case::success(200, &[("x-signature", "s")], End::Served)]
fn on_used_connection(#[case] status: u16, #[case] fields: &[(&str, &str)], #[case] expected: End) {
    assert_eq!(classified(status, fields, History::Used), expected);
}

fn classified(status: u16, fields: &[(&str, &str)], history: History) -> End {
    let mut map = HeaderMap::new();
    for (name, value) in fields {
        let name: HeaderName = name.parse().expect("a valid name");
        map.append(name, HeaderValue::from_str(value).expect("a valid value"));
    }
    let status = StatusCode::from_u16(status).expect("a valid status");
    let id = HeaderValue::from_static("r");
    classify(status, &map, &id, history, &headers())
}
