use http::{HeaderMap, HeaderName, header};

/// The hop-by-hop headers, which apply to one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the hop-by-hop headers, including those that `Connection` names, and the length, which
/// is set again for the next connection.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> =
        connection_options(headers).filter_map(|it| it.parse().ok()).collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

/// Returns whether the sender of a message closes the connection after it.
pub fn closes(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|it| it.eq_ignore_ascii_case("close"))
}

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    values.flat_map(|it| it.split(',')).map(str::trim)
}
