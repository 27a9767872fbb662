//! The classification of an attempt by the head of its answer.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use mimosabridge::scatter::End;
use mimosabridge_direct::backend::classify;
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
fn by_head(#[case] status: u16, #[case] fields: &[(&str, &str)], #[case] expected: End) {
    let mut map = HeaderMap::new();
    for (name, value) in fields {
        let name: HeaderName = name.parse().expect("a valid name");
        map.insert(name, HeaderValue::from_str(value).expect("a valid value"));
    }
    let status = StatusCode::from_u16(status).expect("a valid status");
    let id = HeaderValue::from_static("r");
    assert_eq!(classify(status, &map, &id, &headers()), expected);
}
