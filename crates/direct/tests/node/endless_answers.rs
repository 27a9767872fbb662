//! Servers that send bytes without end.

use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use rstest::rstest;
use tokio::time::timeout;

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

/// The bytes of an answer that is within the limit of a single one.
const LONG_BYTES: usize = 900_000;

/// How long an answer that is not read to its end may hold memory.
const HOLD_TIME: Duration = Duration::from_secs(4);

/// Guards against answers that are bounded one by one: those of all requests under way filled the memory of the node, and its
/// end cut the requests to sound servers.
#[test]
fn many_without_end() {
    run(async {
        let mut servers = Vec::new();
        for number in 0..6 {
            let behavior = Behavior::Stalled(LONG_BYTES);
            servers.push(Server::start(&format!("i-{number}"), "one", behavior).await);
        }
        let node = Rc::new(Node::start(&servers.iter().collect::<Vec<_>>()).await);
        let held = join_all((0..90).map(|number| {
            let node = node.clone();
            async move {
                let text = request("POST", &format!("/one/{number}"), &format!("r{number}"), "x");
                timeout(HOLD_TIME, ask(node.front, &text)).await.is_err()
            }
        }));
        let held = held.await.into_iter().filter(|it| *it).count() * LONG_BYTES;
        assert!(
            held <= 40_000_000,
            "{held} bytes are held, a quarter of the smallest VM is allowed"
        );
    });
}
