//! Requests that are invalid.

use rstest::rstest;

use crate::env::{Behavior, Node, Server, ask, request, run};

#[rstest]
#[case::unknown_path(request("GET", "/none/a", "r1", ""), 404)]
#[case::unknown_host(request("GET", "/one/a", "r1", "").replace("search.example", "x.example"), 404)]
#[case::no_identity(request("GET", "/one/a", "r1", "").replace("x-id: r1\r\n", ""), 400)]
#[case::no_number(request("GET", "/one/a", "r1", "").replace("15000", "soon"), 400)]
#[case::too_large(request("POST", "/one/a", "r1", &"x".repeat(1_001)), 413)]
#[case::no_time_left(request("GET", "/one/a", "r1", "").replace("15000", "0"), 503)]
#[case::two_lengths(
    request("POST", "/one/a", "r1", "x").replace("\r\n\r\n", "\r\ncontent-length: 9\r\n\r\n"), 400)]
#[case::not_http("hello\r\n\r\n".to_owned(), 400)]
fn rejected_with_status(#[case] text: String, #[case] status: u16) {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        let node = Node::start(&[&server]).await;
        let answer = ask(node.front, &text).await.expect("the node answers");
        assert_eq!(answer.status, status, "{}", answer.body);
        assert_eq!(server.arrivals(), 0, "nothing is forwarded");
    });
}

#[test]
fn smuggled_request() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        let node = Node::start(&[&server]).await;
        let inner = "GET /one/evil HTTP/1.1\r\nhost: search.example\r\nx-id: evil\r\n\r\n";
        let text = request("POST", "/one/a", "r1", inner);
        ask(node.front, &text).await.expect("the node answers");
        let requests = server.requests.borrow();
        assert_eq!(requests.len(), 1, "the body is not parsed as a request");
        assert!(requests[0].starts_with("POST /one/a "));
    });
}

#[test]
fn foreign_server_header() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        let node = Node::start(&[&server]).await;
        let text = request("GET", "/one/a", "r1", "");
        let text =
            text.replace("x-id: r1", "x-id: r1\r\nx-server: i-9\r\nconnection: x-hop\r\nx-hop: 1");
        ask(node.front, &text).await.expect("the node answers");
        let arrived = server.requests.borrow()[0].clone();
        assert!(!arrived.contains("i-9") && !arrived.contains("x-hop"), "{arrived}");
    });
}
