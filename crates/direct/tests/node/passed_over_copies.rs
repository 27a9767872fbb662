//! Late copies that arrive in pieces, in front of an answer or in its place.

use std::time::Duration;

use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::env::{Behavior, Node, Server, ask, request, run};

/// How long a server waits between two pieces.
const PAUSE: Duration = Duration::from_millis(3);

fn answer(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s.{id}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Answers the requests on each connection with texts made of the ids of the last request and of this
/// one, in pieces of some bytes.
async fn serve(listener: TcpListener, text: impl Fn(&str, &str) -> String, piece: usize) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut last = None;
        while let Some(id) = read_id(&mut stream).await {
            let bytes = match last.replace(id.clone()) {
                None => answer(&id, "first"),
                Some(last) => text(&last, &id),
            };
            for piece in bytes.as_bytes().chunks(piece) {
                if stream.write_all(piece).await.is_err() {
                    break;
                }
                sleep(PAUSE).await;
            }
        }
    }
}

async fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = vec![0; 4_096];
    let count = stream.read(&mut bytes).await.ok().filter(|it| *it > 0)?;
    let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
    let line = text.lines().find_map(|it| it.strip_prefix("x-id: "))?;
    Some(line.to_owned())
}

/// Returns the answers to two requests in a row at a server that answers with a text.
async fn second_status(
    text: impl Fn(&str, &str) -> String + 'static,
    piece: usize,
) -> (u16, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let mut server = Server::start("i-1", "one", Behavior::Correct).await;
    server.address = listener.local_addr().expect("a bound socket has an address");
    tokio::task::spawn_local(serve(listener, text, piece));
    let node = Node::start(&[&server]).await;
    let first = ask(node.front, &request("POST", "/one/a", "r1", "")).await;
    assert_eq!(first.map(|it| it.status), Some(200));
    let second = ask(node.front, &request("POST", "/one/a", "r2", "")).await;
    second.map(|it| (it.status, it.body)).expect("the node answers")
}

#[rstest]
fn in_pieces(#[values(1, 7, 10_000)] piece: usize) {
    run(async {
        let text = |last: &str, own: &str| answer(last, "a late copy") + &answer(own, "own");
        assert_eq!(second_status(text, piece).await, (200, "own".to_owned()));
    });
}

#[test]
fn two_copies() {
    run(async {
        let text = |last: &str, own: &str| {
            answer(last, "a late copy") + &answer(last, "") + &answer(own, "own")
        };
        assert_eq!(second_status(text, 50).await, (200, "own".to_owned()));
    });
}

/// What is no copy of the last answer, or shows no end, is not passed over: its outcome is unknown.
#[rstest]
#[case::another_request(|_: &str, own: &str| answer("r0", "x") + &answer(own, "own"))]
#[case::without_length(|last: &str, own: &str| {
    format!("HTTP/1.1 200 OK\r\nx-id: {last}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")
        + &answer(own, "own")
})]
#[case::two_lengths(|last: &str, own: &str| {
    format!("HTTP/1.1 200 OK\r\nx-id: {last}\r\ncontent-length: 0\r\ncontent-length: 9\r\n\r\n")
        + &answer(own, "own")
})]
fn outcome_unknown(#[case] text: fn(&str, &str) -> String) {
    run(async {
        assert_eq!(second_status(text, 10_000).await.0, 502);
    });
}
