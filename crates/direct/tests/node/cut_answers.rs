//! Servers that stop somewhere in an answer and close the connection.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Method};
use mimosabridge::{
    directory::Entry,
    name::Name,
    plan::Repeat,
    scatter::{Attempt, End},
};
use mimosabridge_direct::backend::{Outgoing, Pool, exchange};
use mimosabridge_node::clock::Clock;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::env::{headers, run};

/// Returns how an attempt ends whose server sends these bytes and closes the connection.
async fn end_after(bytes: &[u8]) -> End {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("the node connects");
        let mut request = [0; 4_096];
        assert!(stream.read(&mut request).await.is_ok_and(|it| it > 0), "the node sends a request");
        stream.write_all(bytes).await.expect("the node reads");
    };
    let server = Entry {
        id: Name::new("i-1"),
        service: Name::new("one"),
        address,
        data_centre: Name::new("a"),
        slots: 6,
        is_draining: false,
        cold: Duration::ZERO,
        born: 1,
        sequence: None,
    };
    let clock = Clock::new();
    let budget = Duration::from_secs(10);
    let (server, sent) = (Arc::new(server), clock.now());
    let attempt = Attempt { number: 0, shard: 0, server, sent, budget, is_hedge: false };
    let outgoing = Outgoing {
        method: Method::GET,
        target: "/one/x".parse().expect("a valid path"),
        headers: HeaderMap::new(),
        body: "".into(),
        id: HeaderValue::from_static("r"),
        repeat: Repeat::Once,
    };
    let (pool, names) = (Pool::new(), headers());
    let (completion, ()) = tokio::join!(exchange(&pool, clock, &names, &attempt, &outgoing), serve);
    completion.end
}

/// Guards against a part of an answer that is taken for the whole, or for the proof that a request has
/// not run.
#[rstest]
#[case::length("200 OK", "x-signature: s\r\ncontent-length: 12\r\n\r\nthe whole it", End::Served)]
#[case::chunks(
    "200 OK",
    "x-signature: s\r\ntransfer-encoding: chunked\r\n\r\n3\r\nthe\r\n9\r\n whole it\r\n0\r\n\r\n",
    End::Served
)]
#[case::failure("500 Oops", "x-signature: s\r\ncontent-length: 2\r\n\r\nno", End::Failed)]
#[case::rejection("503 Full", "x-refused: 1\r\ncontent-length: 0\r\n\r\n", End::Shed)]
#[case::misdirected("421 Misdirected", "content-length: 0\r\n\r\n", End::Misdirected)]
fn part_for_whole(#[case] status: &str, #[case] rest: &str, #[case] whole: End) {
    run(async {
        let answer = format!("HTTP/1.1 {status}\r\nx-id: r\r\n{rest}");
        for cut in 0..answer.len() {
            let end = end_after(&answer.as_bytes()[..cut]).await;
            assert!(matches!(end, End::Broken | End::Invalid), "{:?}: {end:?}", &answer[..cut]);
        }
        assert_eq!(end_after(answer.as_bytes()).await, whole);
    });
}

/// An answer without a length ends with its connection: only its head shows whether it is one.
#[test]
fn head_without_end() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nx-id: r\r\nx-signature: s\r\n\r\n";
        for cut in 0..head.len() {
            let end = end_after(&head.as_bytes()[..cut]).await;
            assert!(matches!(end, End::Broken | End::Invalid), "{:?}: {end:?}", &head[..cut]);
        }
        assert_eq!(end_after(format!("{head}whole").as_bytes()).await, End::Served);
    });
}
