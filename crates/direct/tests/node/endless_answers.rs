//! Servers that send bytes without end.

use rstest::rstest;

use crate::env::{Behavior, Node, Server, ask, request, run};

/// A tenth of the memory of the smallest VM.
const MAX_BYTES: usize = 16_000_000;

#[rstest]
#[case::start("", "HTTP")]
#[case::head("HTTP/1.1 200 OK\r\n", "x-fill: some bytes of a head\r\n")]
#[case::field("HTTP/1.1 200 OK\r\nx-fill: ", "some bytes of a field ")]
#[case::interim("", "HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::body("HTTP/1.1 200 OK\r\nx-signature: s\r\n\r\n", "bytes of a body ")]
#[case::length(
    "HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-length: 99999999999\r\n\r\n",
    "bytes of a body "
)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n",
    "10\r\nbytes of a chunk\r\n"
)]
fn read_without_end(#[case] head: &'static str, #[case] bytes: &'static str) {
    run(async {
        let bad = Server::start("i-1", "one", Behavior::Endless(head, bytes)).await;
        let node = Node::start(&[&bad]).await;
        let text = request("POST", "/one/a", "r", "x");
        let answer = ask(node.front, &text).await.expect("the node answers");
        assert_eq!(answer.status, 502, "the request may have run");
        let sent = bad.endless_bytes.get();
        assert!(sent <= MAX_BYTES, "{sent} bytes were read");
    });
}
